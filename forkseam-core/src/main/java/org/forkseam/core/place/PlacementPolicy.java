package org.forkseam.core.place;

import org.forkseam.core.util.BoundedMap;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Decides whether a coordinator places a request: only while the engines of a contended pool may be
 * empty and it matters which of them processes the prompt. Not thread-safe.
 *
 * @since 0.8
 */
public final class PlacementPolicy {
    /**
     * Time after which the engines of a pool have processed most shared prompts: those in use are
     * requested every few seconds. A shorter time would send rare ones to engines that are busy.
     */
    static final long WARM_UP_MILLIS = 8_000;

    private static final int MAX_STARTED_ENGINES = 2_048;

    private final Map<String, Long> mFirstRequestAt = new HashMap<>();
    private final Set<String> mWarm = new HashSet<>();
    private final Map<String, Long> mStartedAt = BoundedMap.byInsertion(MAX_STARTED_ENGINES);
    private long mLastStartedAt = Long.MIN_VALUE / 2;

    /**
     * Describes a request.
     *
     * @param pool its pool
     * @param contended whether the pool is contended
     * @param sharedTokens prompt tokens shared with other requests; 0 without a prompt
     * @param homeId id of the first engine in the key's order of preference
     * @param holderKnown whether this router knows an engine that has processed the prompt
     * @param softwareRequired whether only targets of a certain software version may serve it
     */
    public record Request(
            String pool,
            boolean contended,
            long sharedTokens,
            String homeId,
            boolean holderKnown,
            boolean softwareRequired) {}

    private PlacementPolicy() {}

    /** Creates a policy to which all pools are cold. */
    public static PlacementPolicy create() {
        return new PlacementPolicy();
    }

    /** Records a request of this router to a contended pool. */
    public void onRequest(String pool, long nowMillis) {
        mFirstRequestAt.putIfAbsent(pool, nowMillis);
    }

    /** Records whether the engines of a pool are on record as warm. */
    public void setWarm(String pool, boolean warm) {
        if (warm) {
            mWarm.add(pool);
        } else {
            mWarm.remove(pool);
        }
    }

    /** Records that an engine has joined its pool or restarted, so its cache is empty. */
    public void onEngineStarted(String id, long nowMillis) {
        mLastStartedAt = nowMillis;
        mStartedAt.remove(id);
        mStartedAt.put(id, nowMillis);
    }

    /** Returns the pools that have had requests for long enough to be recorded as warm. */
    public List<String> poolsToRecord(long nowMillis) {
        return mFirstRequestAt.keySet().stream()
                .filter(p -> !mWarm.contains(p) && !isCold(p, nowMillis))
                .toList();
    }

    /** Returns whether the engines of a pool may be empty as far as this router knows. */
    public boolean isCold(String pool, long nowMillis) {
        if (mWarm.contains(pool)) {
            return false;
        }
        return nowMillis - mFirstRequestAt.getOrDefault(pool, nowMillis) < WARM_UP_MILLIS;
    }

    /** Returns whether any request to a pool may have to be placed. */
    public boolean isActive(String pool, long nowMillis) {
        return isCold(pool, nowMillis) || nowMillis - mLastStartedAt < WARM_UP_MILLIS;
    }

    /** Returns whether to ask the coordinator for an engine. */
    public boolean isToBePlaced(Request r, long nowMillis) {
        if (!r.contended() || r.sharedTokens() == 0 || r.softwareRequired() || r.holderKnown()) {
            return false;
        }
        return isCold(r.pool(), nowMillis) || hasStartedRecently(r.homeId(), nowMillis);
    }

    private boolean hasStartedRecently(String id, long nowMillis) {
        Long at = mStartedAt.get(id);
        return at != null && nowMillis - at < WARM_UP_MILLIS;
    }
}
