package org.forkseam.core.place;

import org.forkseam.core.load.PromptWork;
import org.forkseam.core.util.BoundedMap;

import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Selects the engines of one group on which prompts are processed first, at the group's
 * coordinator. Knows only what was placed here and reported: a ledger that starts empty assumes
 * empty engines and prefers homes. Not thread-safe.
 *
 * @since 0.8
 */
public final class PlacementLedger {
    /**
     * Advantage of the home: routers look for the prompt there later, and it may hold the prompt
     * already without the ledger's knowledge. About the time to copy a prompt of 4,000 tokens.
     */
    private static final double HOME_ADVANTAGE_MILLIS = 40;

    private static final double COPY_MILLIS = 3;
    private static final double COPY_MILLIS_PER_TOKEN = 0.01;

    /** Replies kept for queries that are sent again, within 20 ms. */
    private static final int MAX_REPLIES = 256;

    private final Map<Integer, EngineBacklog> mBacklogs = new HashMap<>();
    private final PartHolders mHolders = new PartHolders();
    private final Map<Long, PlacementReply> mReplies = BoundedMap.byInsertion(MAX_REPLIES);
    private long mPlaced;
    private long mExpired;

    /** What an engine has to do for a prompt: its work at normal speed, and a source to copy. */
    private record Work(double millis, int copySource) {}

    private PlacementLedger() {}

    /** Creates an empty ledger. */
    public static PlacementLedger create() {
        return new PlacementLedger();
    }

    /**
     * Selects the engine with the shortest expected time to the first event. A query that is sent
     * again gets the same reply.
     *
     * @param engines short hashes of the group's engines that accept requests
     * @param tokensPerMilli prefill rate of the engines
     */
    public PlacementReply place(
            PlacementQuery q, Collection<Integer> engines, double tokensPerMilli, long now) {
        PlacementReply earlier = mReplies.get(q.id());
        if (earlier != null) {
            return earlier;
        }
        PlacementReply reply = select(q, engines, tokensPerMilli, now);
        mReplies.put(q.id(), reply);
        return reply;
    }

    /** Returns whether a query is one that was sent again, whose reply stands. */
    public boolean hasReplied(long queryId) {
        return mReplies.containsKey(queryId);
    }

    private PlacementReply select(
            PlacementQuery q, Collection<Integer> engines, double tokensPerMilli, long now) {
        mBacklogs.entrySet().removeIf(e -> dropUnless(engines, e.getKey(), e.getValue()));
        mBacklogs.forEach((engine, b) -> expire(engine, b, now));
        Sources sources = new Sources(q, engines, tokensPerMilli);
        int best = PlacementReply.NONE;
        Work bestWork = null;
        double bestCost = Double.POSITIVE_INFINITY;
        for (int engine : engines) {
            Work work = sources.workAt(engine);
            double cost = expectedMillis(engine, work, now);
            cost -= engine == q.home() ? HOME_ADVANTAGE_MILLIS : 0;
            if (cost < bestCost) {
                best = engine;
                bestWork = work;
                bestCost = cost;
            }
        }
        if (bestWork == null) {
            return new PlacementReply(q.id(), PlacementReply.NONE, PlacementReply.NONE);
        }
        record(q, best, bestWork, now);
        return new PlacementReply(q.id(), best, bestWork.copySource());
    }

    private double expectedMillis(int engine, Work work, long now) {
        EngineBacklog b = mBacklogs.get(engine);
        return b == null ? work.millis() : b.waitMillis(now) + work.millis() * b.slowdown();
    }

    private void record(PlacementQuery q, int engine, Work work, long now) {
        mPlaced++;
        double expected = expectedMillis(engine, work, now);
        mBacklogs
                .computeIfAbsent(engine, e -> new EngineBacklog())
                .add(q, work.millis(), expected, now);
        mHolders.onPlaced(q.key(), engine);
        mHolders.onPlaced(q.headKey(), engine);
    }

    /** Applies the report of a placement; returns whether it was made here. */
    public boolean onDone(PlacementDone d, long now) {
        for (Map.Entry<Integer, EngineBacklog> e : mBacklogs.entrySet()) {
            Optional<EngineBacklog.Prompt> p = e.getValue().remove(d.id());
            if (p.isPresent()) {
                onDone(d, p.get().query(), e.getKey(), now);
                return true;
            }
        }
        return false;
    }

    private void onDone(PlacementDone d, PlacementQuery q, int placedOn, long now) {
        if (!d.ok() || d.engine() != placedOn) {
            onFailed(q, placedOn);
        }
        if (d.ok()) {
            mHolders.onProcessed(q.key(), d.engine());
            mHolders.onProcessed(q.headKey(), d.engine());
            mBacklogs
                    .computeIfAbsent(d.engine(), e -> new EngineBacklog())
                    .onDone(d.slowdown(), now);
        }
    }

    private void onFailed(PlacementQuery q, int engine) {
        mHolders.onFailed(q.key(), engine);
        mHolders.onFailed(q.headKey(), engine);
    }

    /** Drops the prompts of an engine that has left or does not accept requests. */
    private boolean dropUnless(Collection<Integer> engines, int engine, EngineBacklog b) {
        if (engines.contains(engine)) {
            return false;
        }
        b.removeExpired(Long.MAX_VALUE).forEach(p -> onFailed(p.query(), engine));
        return true;
    }

    private void expire(int engine, EngineBacklog b, long now) {
        for (EngineBacklog.Prompt p : b.removeExpired(now)) {
            mExpired++;
            onFailed(p.query(), engine);
        }
    }

    /** Returns counts for the state dump. */
    public Map<String, Long> dump() {
        Map<String, Long> m = new LinkedHashMap<>();
        m.put("placed", mPlaced);
        m.put("expired", mExpired);
        m.put("parts", (long) mHolders.size());
        m.put("in_prefill", mBacklogs.values().stream().mapToLong(EngineBacklog::size).sum());
        return m;
    }

    /** Computes the work of one prompt at each engine. */
    private final class Sources {
        private final PlacementQuery mQuery;
        private final double mRate;
        private final Map<Integer, Boolean> mKeyHolders;
        private final Map<Integer, Boolean> mHeadHolders;
        private final Optional<Integer> mKeySource;
        private final Optional<Integer> mHeadSource;

        Sources(PlacementQuery q, Collection<Integer> engines, double rate) {
            mQuery = q;
            mRate = rate;
            mKeyHolders = mHolders.of(q.key());
            mHeadHolders = mHolders.of(q.headKey());
            mKeySource = mHolders.source(q.key(), engines);
            mHeadSource = mHolders.source(q.headKey(), engines);
        }

        Work workAt(int engine) {
            if (mKeyHolders.containsKey(engine)) {
                return prefill(mQuery.sharedTokens());
            }
            boolean holdsHead = mHeadHolders.containsKey(engine);
            Work work = prefill(holdsHead ? mQuery.headTokens() : 0);
            if (mKeySource.isPresent()) {
                return cheaper(work, copy(mQuery.sharedTokens(), mKeySource.get()));
            }
            return holdsHead || mHeadSource.isEmpty()
                    ? work
                    : cheaper(work, copy(mQuery.headTokens(), mHeadSource.get()));
        }

        private Work prefill(int cached) {
            return new Work(millis(cached), PlacementReply.NONE);
        }

        private Work copy(int tokens, int source) {
            return new Work(millis(tokens) + COPY_MILLIS + COPY_MILLIS_PER_TOKEN * tokens, source);
        }

        private double millis(int cached) {
            int uncached = mQuery.promptTokens() - cached;
            return PromptWork.millis(uncached, mQuery.promptTokens(), mRate);
        }

        private Work cheaper(Work a, Work b) {
            return b.millis() < a.millis() ? b : a;
        }
    }
}
