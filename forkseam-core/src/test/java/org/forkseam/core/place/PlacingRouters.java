package org.forkseam.core.place;

import org.forkseam.core.route.Rendezvous;
import org.forkseam.core.util.Hashes;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Model of routers that place prompts through coordinators, over a network that loses datagrams.
 */
final class PlacingRouters implements PoolModel.Router {
    private static final String POOL = "p";
    private static final double TOKENS_PER_MILLI = 40;
    private static final double DATAGRAM_MILLIS = 0.75;
    private static final double REPLY_TIMEOUT_MILLIS = 20;
    private static final double RESEND_MILLIS = 8;
    private static final double PAUSE_MILLIS = 1_000;
    private static final double GOSSIP_MILLIS = 125;

    private final PoolModel mPool;
    private final double mLossRate;
    private final boolean mCoordinated;
    private final EngineGroups mGroups;
    private final List<Integer> mGroupOf = new ArrayList<>();
    private final Map<Integer, List<Integer>> mMembers = new HashMap<>();
    private final Map<Integer, PlacementLedger> mLedgers = new HashMap<>();
    private final List<RouterModel> mState = new ArrayList<>();
    private final Map<PoolModel.Request, Long> mPlacements = new HashMap<>();
    private final Map<Long, Integer> mHomes = new HashMap<>();
    private double mDownUntil;
    private long mNextId;
    private long mQueries;

    /** What one router knows. */
    private static final class RouterModel {
        private final PlacementPolicy mPolicy = PlacementPolicy.create();
        private final Map<Long, Integer> mHolders = new LinkedHashMap<>();
        private final Map<Integer, Double> mPausedUntil = new HashMap<>();
    }

    PlacingRouters(int engines, int routers, double lossRate, boolean coordinated, long seed) {
        mPool = new PoolModel(engines, routers, seed, this);
        mLossRate = lossRate;
        mCoordinated = coordinated;
        mGroups = EngineGroups.of(engines);
        for (int i = 0; i < engines; i++) {
            int group = mGroups.groupOf(Hashes.of("engine-" + i));
            mGroupOf.add(group);
            mMembers.computeIfAbsent(group, g -> new ArrayList<>()).add(i + 1);
        }
        for (int i = 0; i < routers; i++) {
            mState.add(new RouterModel());
        }
        mPool.every(GOSSIP_MILLIS, this::gossip);
    }

    /** Starts with all prompts at their homes, on record or not. */
    void warmUp(boolean recorded) {
        mPool.keys().forEach(k -> engine(home(k.hash())).warmUp(k));
        mState.forEach(r -> r.mPolicy.setWarm(POOL, recorded));
    }

    /** Restarts the coordinators: they reply again after some time, with empty ledgers. */
    void restartCoordinators(double atMillis, double downMillis) {
        mPool.after(
                atMillis,
                () -> {
                    mLedgers.clear();
                    mDownUntil = mPool.now() + downMillis;
                });
    }

    double run(double requestsPerSecond) {
        return mPool.run(requestsPerSecond);
    }

    long queries() {
        return mQueries;
    }

    // ---------------------------------------------------------------- routers

    /** Engines have short hashes from 1 on. */
    private EngineModel engine(int hash) {
        return mPool.engines().get(hash - 1);
    }

    private int home(long key) {
        return mHomes.computeIfAbsent(key, this::highestScore);
    }

    private int highestScore(long key) {
        int best = 0;
        for (int i = 1; i < mGroupOf.size(); i++) {
            boolean higher = Rendezvous.score(key, i, 1) > Rendezvous.score(key, best, 1);
            best = higher ? i : best;
        }
        return best + 1;
    }

    @Override
    public void onRequest(PoolModel.Request r) {
        RouterModel router = mState.get(r.router());
        long now = (long) mPool.now();
        long key = r.key().hash();
        int home = home(key);
        int group = mGroupOf.get(home - 1);
        router.mPolicy.onRequest(POOL, now);
        PlacementPolicy.Request facts =
                new PlacementPolicy.Request(
                        POOL,
                        true,
                        r.key().sharedTokens(),
                        "engine-" + home,
                        router.mHolders.containsKey(key),
                        false);
        boolean paused = mPool.now() < router.mPausedUntil.getOrDefault(group, 0.0);
        if (!mCoordinated || paused || !router.mPolicy.isToBePlaced(facts, now)) {
            sendHome(r, router);
            return;
        }
        query(r, router, group, home);
    }

    private void sendHome(PoolModel.Request r, RouterModel router) {
        int home = home(r.key().hash());
        int holder = router.mHolders.getOrDefault(r.key().hash(), home);
        mPool.send(r, engine(home), holder == home ? null : engine(holder));
    }

    private void query(PoolModel.Request r, RouterModel router, int group, int home) {
        mQueries++;
        PoolModel.Key k = r.key();
        long id = ++mNextId;
        mPlacements.put(r, id);
        boolean[] done = new boolean[1];
        PlacementQuery q =
                new PlacementQuery(
                        id,
                        POOL,
                        k.hash(),
                        k.head(),
                        k.headTokens(),
                        k.sharedTokens(),
                        r.promptTokens(),
                        home);
        send(r, q, group, done);
        mPool.after(
                RESEND_MILLIS,
                () -> {
                    if (!done[0]) {
                        send(r, q, group, done);
                    }
                });
        mPool.after(
                REPLY_TIMEOUT_MILLIS,
                () -> {
                    if (!done[0]) {
                        done[0] = true;
                        router.mPausedUntil.put(group, mPool.now() + PAUSE_MILLIS);
                        sendHome(r, router);
                    }
                });
    }

    private void send(PoolModel.Request r, PlacementQuery q, int group, boolean[] done) {
        datagram(
                () -> {
                    PlacementReply reply =
                            ledger(group).place(q, mMembers.get(group), TOKENS_PER_MILLI, ms());
                    datagram(() -> onReply(r, reply, done));
                });
    }

    private void onReply(PoolModel.Request r, PlacementReply reply, boolean[] done) {
        if (done[0]) {
            return;
        }
        done[0] = true;
        EngineModel source = reply.copySource() == 0 ? null : engine(reply.copySource());
        mPool.send(r, engine(reply.engine()), source);
    }

    @Override
    public void onFirstEvent(PoolModel.Request r, EngineModel engine) {
        Long id = mPlacements.remove(r);
        if (id == null) {
            return;
        }
        int hash = mPool.engines().indexOf(engine) + 1;
        PlacementDone d = new PlacementDone(id, hash, true, engine.slowdown());
        int group = mGroupOf.get(home(r.key().hash()) - 1);
        datagram(() -> ledger(group).onDone(d, ms()));
    }

    @Override
    public void onEnd(PoolModel.Request r, EngineModel engine) {
        int hash = mPool.engines().indexOf(engine) + 1;
        mState.get(r.router()).mHolders.put(r.key().hash(), hash);
    }

    private void gossip() {
        if (mPool.now() > PoolModel.ARRIVAL_MILLIS) {
            return;
        }
        for (RouterModel r : mState) {
            RouterModel other = mState.get(mPool.random().nextInt(mState.size()));
            r.mHolders.forEach(other.mHolders::putIfAbsent);
        }
    }

    // ---------------------------------------------------------------- coordinators

    private long ms() {
        return (long) mPool.now();
    }

    private PlacementLedger ledger(int group) {
        return mLedgers.computeIfAbsent(group, g -> PlacementLedger.create());
    }

    private void datagram(Runnable onArrival) {
        if (mPool.random().nextDouble() < mLossRate || mPool.now() < mDownUntil) {
            return;
        }
        mPool.after(DATAGRAM_MILLIS, onArrival);
    }
}
