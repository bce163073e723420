package org.forkseam.core.cfg;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;

/**
 * Holds the configuration in force on one daemon and the latest changes that led to it.
 *
 * <p>Keeps the promise that an accepted configuration never reverts: a version is put in force only
 * if it is greater than the present one and continues it by hash chain, or comes whole with a
 * greater version. Not thread-safe.
 *
 * @since 0.1
 */
public final class ConfigLog {
    /** Changes kept for peers that are behind; further behind, they get the whole configuration. */
    static final int KEPT = 64;

    private FleetConfig mInForce = FleetConfig.empty();
    private final Deque<ConfigChange> mChanges = new ArrayDeque<>();

    /** Returns the configuration in force. */
    public FleetConfig inForce() {
        return mInForce;
    }

    /** Returns the latest changes, the oldest first. */
    public List<ConfigChange> history() {
        return new ArrayList<>(mChanges);
    }

    /** Puts changes in force as far as they continue the present version; returns if any did. */
    public boolean apply(List<ConfigChange> changes) {
        boolean any = false;
        for (ConfigChange c : changes) {
            Optional<FleetConfig> next = mInForce.with(c);
            if (next.isEmpty()) {
                continue;
            }
            mInForce = next.get();
            mChanges.addLast(c);
            if (mChanges.size() > KEPT) {
                mChanges.removeFirst();
            }
            any = true;
        }
        return any;
    }

    /** Puts a whole configuration in force if it is of a greater version. */
    public boolean applyWhole(FleetConfig whole) {
        if (whole.version() <= mInForce.version()) {
            return false;
        }
        mInForce = whole;
        mChanges.clear();
        return true;
    }

    /** Returns the changes that follow a version, or empty if they are no longer all kept. */
    public Optional<List<ConfigChange>> since(long version) {
        List<ConfigChange> out = new ArrayList<>();
        for (ConfigChange c : mChanges) {
            if (c.version() > version) {
                out.add(c);
            }
        }
        boolean whole = out.size() == mInForce.version() - version;
        return whole ? Optional.of(out) : Optional.empty();
    }
}
