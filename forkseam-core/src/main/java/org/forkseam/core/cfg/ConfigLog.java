package org.forkseam.core.cfg;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;

/**
 * Holds a daemon's current configuration and the most recent changes that led to it.
 *
 * <p>An accepted configuration never reverts: a change applies only if it continues the current
 * version by its hash chain, and a snapshot only if its version is greater. Not thread-safe.
 *
 * @since 0.1
 */
public final class ConfigLog {
    /** Limit of changes kept; peers that are further behind get a snapshot. */
    static final int MAX_HISTORY = 64;

    private FleetConfig mCurrent = FleetConfig.empty();
    private final Deque<ConfigChange> mChanges = new ArrayDeque<>();

    /** Returns the current configuration. */
    public FleetConfig current() {
        return mCurrent;
    }

    /** Returns the most recent changes, oldest first. */
    public List<ConfigChange> history() {
        return new ArrayList<>(mChanges);
    }

    /** Applies those changes that continue the current version; returns whether there were any. */
    public boolean apply(List<ConfigChange> changes) {
        boolean applied = false;
        for (ConfigChange c : changes) {
            Optional<FleetConfig> next = mCurrent.with(c);
            if (next.isEmpty()) {
                continue;
            }
            mCurrent = next.get();
            mChanges.addLast(c);
            if (mChanges.size() > MAX_HISTORY) {
                mChanges.removeFirst();
            }
            applied = true;
        }
        return applied;
    }

    /** Applies a complete configuration if its version is greater than the current one. */
    public boolean applySnapshot(FleetConfig snapshot) {
        if (snapshot.version() <= mCurrent.version()) {
            return false;
        }
        mCurrent = snapshot;
        mChanges.clear();
        return true;
    }

    /** Returns the changes after a version, or empty if some are no longer kept. */
    public Optional<List<ConfigChange>> since(long version) {
        List<ConfigChange> out = new ArrayList<>();
        for (ConfigChange c : mChanges) {
            if (c.version() > version) {
                out.add(c);
            }
        }
        boolean complete = out.size() == mCurrent.version() - version;
        return complete ? Optional.of(out) : Optional.empty();
    }
}
