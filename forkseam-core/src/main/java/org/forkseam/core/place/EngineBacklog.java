package org.forkseam.core.place;

import org.forkseam.core.util.BoundedMap;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Prompts placed on one engine whose first event has not been reported. Not thread-safe. */
final class EngineBacklog {
    private static final int MAX_PROMPTS = 512;

    /** Reports arrive after the first event, so an engine with prompts is not idle yet. */
    private static final double MIN_WAIT_MILLIS = 10;

    private static final int EXPIRY_FACTOR = 3;
    private static final long MIN_EXPIRY_MILLIS = 1_000;

    private final Map<Long, Prompt> mPrompts = BoundedMap.byInsertion(MAX_PROMPTS);
    private double mSlowdown = 1;
    private long mLastDoneAt = Long.MIN_VALUE / 2;

    /**
     * A placed prompt.
     *
     * @param query the prompt
     * @param workMillis its work at normal speed
     * @param placedAt when it was placed
     * @param expiresAt when it is given up if no report arrives
     */
    record Prompt(PlacementQuery query, double workMillis, long placedAt, long expiresAt) {}

    double slowdown() {
        return mSlowdown;
    }

    int size() {
        return mPrompts.size();
    }

    /** Returns the expected time until the engine has processed the prompts placed on it. */
    double waitMillis(long now) {
        if (mPrompts.isEmpty()) {
            return 0;
        }
        double work = 0;
        for (Prompt p : mPrompts.values()) {
            work += p.workMillis();
        }
        long firstPlacedAt = mPrompts.values().iterator().next().placedAt();
        long elapsed = now - Math.max(mLastDoneAt, firstPlacedAt);
        return Math.max(MIN_WAIT_MILLIS, work * mSlowdown - elapsed);
    }

    /**
     * Adds a prompt.
     *
     * @param expectedMillis expected time to its first event
     */
    void add(PlacementQuery q, double workMillis, double expectedMillis, long now) {
        long expiry = Math.max(MIN_EXPIRY_MILLIS, (long) (EXPIRY_FACTOR * expectedMillis));
        mPrompts.put(q.id(), new Prompt(q, workMillis, now, now + expiry));
    }

    /** Removes a prompt whose first event has arrived or that was not sent to the engine. */
    Optional<Prompt> remove(long id) {
        return Optional.ofNullable(mPrompts.remove(id));
    }

    /** Records that the engine has processed a prompt. */
    void onDone(double slowdown, long now) {
        mSlowdown = slowdown;
        mLastDoneAt = now;
    }

    /** Removes and returns the prompts that were not reported in time. */
    List<Prompt> removeExpired(long now) {
        List<Prompt> expired = new ArrayList<>(0);
        for (Iterator<Prompt> i = mPrompts.values().iterator(); i.hasNext(); ) {
            Prompt p = i.next();
            if (now >= p.expiresAt()) {
                expired.add(p);
                i.remove();
            }
        }
        return expired;
    }
}
