package org.forkseam.direct.know;

import io.netty.channel.embedded.EmbeddedChannel;

import org.forkseam.core.crash.CrashEvent;
import org.forkseam.core.crash.RequestFingerprints;
import org.forkseam.core.share.LoadGossip;
import org.forkseam.core.store.StorePosition;
import org.forkseam.direct.spi.SharedRow;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;

/**
 * Simulates, in virtual time, the quarantines of many routers in front of targets that crash under
 * parts of prompts. Gossip between routers is lost, delayed and duplicated. Not thread-safe.
 */
final class SimulatedFleet {
    private static final InetSocketAddress OTHER = new InetSocketAddress("127.0.0.1", 6_000);
    private static final long STORE_CLOCK_OFFSET_MILLIS = 7_000_000;
    private static final int STEP_MILLIS = 5;
    private static final int CRASH_AFTER_MILLIS = 80;
    private static final int MAX_RUN_MILLIS = 800;
    private static final int RESTART_MILLIS = 3_000;
    private static final int MAX_ATTEMPTS = 2;

    /** Maximum time until a router has noticed a crash. */
    private static final int MAX_NOTICE_MILLIS = 10;

    /** What happens to a request about which the quarantine is in doubt. */
    enum DoubtPolicy {
        /** One router at a time may try such a request. */
        TRY_ONE,
        /** All are sent. */
        SERVE
    }

    /** A request and its outcome. */
    static final class Request {
        private final List<String> mParts;
        private final Router mRouter;
        private final QuarantineCheck mCheck;
        private final RequestFingerprints mFingerprints;
        private final long mArrival;
        private int mAttempts;
        private boolean mServedAtFirstAttempt;

        private Request(List<String> parts, Router router, long id, long arrival) {
            mParts = parts;
            mRouter = router;
            mFingerprints = RequestFingerprints.of(id, parts);
            mCheck = QuarantineCheck.of(router.mQuarantine, mFingerprints);
            mArrival = arrival;
        }

        boolean servedAtFirstAttempt() {
            return mServedAtFirstAttempt;
        }

        boolean hasAnyOf(Set<String> parts) {
            return mParts.stream().anyMatch(parts::contains);
        }

        long arrival() {
            return mArrival;
        }
    }

    /** One router's quarantine. */
    private final class Router {
        private final Quarantine mQuarantine;
        private final RowFollower mFollower;
        private final Map<String, SharedRow> mSeen = new HashMap<>();

        Router(int number) {
            PeerGroup peers =
                    new PeerGroup(
                            mChannel.eventLoop(),
                            new FleetState.RouterIdentity("host-" + number, OTHER),
                            mRandom,
                            (m, s) -> {});
            FollowerBase.Context context =
                    new FollowerBase.Context(
                            mChannel.eventLoop(),
                            () -> mNow,
                            mRandom,
                            peers,
                            new StoreHealth(() -> {}),
                            new StoreEra(),
                            () -> true);
            List<Quarantine> listener = new ArrayList<>();
            mFollower = new RowFollower(context, mRows, r -> listener.get(0).apply(r));
            mQuarantine = new Quarantine(context, mRows, mFollower);
            listener.add(mQuarantine);
        }

        /** Reads the rows that have changed since the last call. */
        void readRows() {
            mFollower.onMessage(
                    new PeerMessage.Rows(
                            STORE_CLOCK_OFFSET_MILLIS + mNow,
                            StorePosition.of(0, 0),
                            StorePosition.of(0, 1),
                            true,
                            List.of()),
                    OTHER);
            List<SharedRow> changed = new ArrayList<>();
            for (SharedRow row : mRows.all().values()) {
                if (!row.equals(mSeen.put(row.key(), row))) {
                    changed.add(row);
                }
            }
            changed.forEach(mFollower::onRead);
        }
    }

    /** A running target. */
    private record Target(int id, List<Request> running) {}

    /** An action at a time; of equal times, the lower sequence number is first. */
    private record Task(long at, long sequence, Runnable action) {}

    private final EmbeddedChannel mChannel = new EmbeddedChannel();
    private final FakeSharedRows mRows = new FakeSharedRows();
    private final SplittableRandom mRandom;
    private final DoubtPolicy mPolicy;
    private final List<Router> mRouters = new ArrayList<>();
    private final List<Target> mTargets = new ArrayList<>();
    private final Set<String> mPoison = new HashSet<>();
    private final Map<String, List<Long>> mExecutions = new HashMap<>();
    private final List<Request> mRequests = new ArrayList<>();
    private final PriorityQueue<Task> mTasks =
            new PriorityQueue<>(
                    Comparator.comparingLong(Task::at).thenComparingLong(Task::sequence));
    private long mNow;
    private long mSequence;
    private int mNextTarget;
    private long mGossipedEvents;
    private int mMaxSuspects;

    SimulatedFleet(int routers, int targets, DoubtPolicy policy, long seed) {
        mRandom = new SplittableRandom(seed);
        mPolicy = policy;
        mChannel.freezeTime();
        for (int i = 0; i < routers; i++) {
            mRouters.add(new Router(i));
            mRouters.get(i).readRows();
        }
        for (int i = 0; i < targets; i++) {
            addTarget();
        }
        at(0, this::gossip);
    }

    private void addTarget() {
        mTargets.add(new Target(++mNextTarget, new ArrayList<>()));
    }

    // ---------------------------------------------------------------- time

    long now() {
        return mNow;
    }

    private void at(long millis, Runnable action) {
        mTasks.add(new Task(millis, mSequence++, action));
    }

    /** Calls the action at random times, on average this often a second, until a time. */
    void atRate(double perSecond, long untilMillis, Runnable action) {
        long next = mNow + 1 + (long) (-Math.log(1 - mRandom.nextDouble()) * 1_000 / perSecond);
        if (next < untilMillis) {
            at(
                    next,
                    () -> {
                        action.run();
                        atRate(perSecond, untilMillis, action);
                    });
        }
    }

    void runUntil(long millis) {
        while (mNow < millis) {
            mNow += STEP_MILLIS;
            mChannel.advanceTimeBy(STEP_MILLIS, TimeUnit.MILLISECONDS);
            mChannel.runPendingTasks();
            while (!mTasks.isEmpty() && mTasks.peek().at() <= mNow) {
                mTasks.poll().action().run();
            }
        }
    }

    // ---------------------------------------------------------------- routers

    private void gossip() {
        for (Router r : mRouters) {
            List<CrashEvent> events = r.mQuarantine.digest();
            if (!events.isEmpty()) {
                mGossipedEvents += events.size();
                deliver(r, events);
            }
            r.readRows();
            mMaxSuspects = Math.max(mMaxSuspects, r.mQuarantine.suspects());
        }
        at(mNow + LoadGossip.PERIOD_MILLIS, this::gossip);
    }

    private void deliver(Router from, List<CrashEvent> events) {
        int fate = mRandom.nextInt(10);
        Router to = mRouters.get(mRandom.nextInt(mRouters.size()));
        if (fate == 0 || to == from) {
            return; // lost
        }
        if (fate != 1) {
            at(mNow, () -> to.mQuarantine.apply(events));
        }
        if (fate <= 2) {
            at(mNow + LoadGossip.PERIOD_MILLIS, () -> to.mQuarantine.apply(events));
        }
    }

    void setStoreUnavailable(boolean unavailable) {
        mRows.setUnavailable(unavailable);
    }

    // ---------------------------------------------------------------- requests

    /** Lets targets crash under these parts from now on. */
    void poison(String... parts) {
        mPoison.addAll(List.of(parts));
    }

    /** Sends a request with these shared parts to a random router. */
    Request request(String... parts) {
        Router r = mRouters.get(mRandom.nextInt(mRouters.size()));
        Request q = new Request(List.of(parts), r, mRandom.nextLong(), mNow);
        mRequests.add(q);
        attempt(q);
        return q;
    }

    private void attempt(Request q) {
        if (q.mCheck.maySend()) {
            send(q);
        } else if (q.mCheck.canRequestTrial()) {
            if (mPolicy == DoubtPolicy.SERVE) {
                send(q);
            } else {
                q.mCheck.requestTrial(() -> attempt(q));
            }
        }
    }

    private void send(Request q) {
        if (mTargets.isEmpty()) {
            return;
        }
        q.mAttempts++;
        Target t = mTargets.get(mRandom.nextInt(mTargets.size()));
        t.running().add(q);
        q.mParts.forEach(p -> mExecutions.computeIfAbsent(p, k -> new ArrayList<>()).add(mNow));
        if (q.hasAnyOf(mPoison)) {
            at(mNow + CRASH_AFTER_MILLIS, () -> crash(t));
        } else {
            at(mNow + 20 + mRandom.nextInt(MAX_RUN_MILLIS), () -> answer(t, q));
        }
    }

    private void answer(Target t, Request q) {
        if (t.running().remove(q)) {
            q.mServedAtFirstAttempt = q.mAttempts == 1;
            q.mCheck.onAttemptEnd(true, true, true);
        }
    }

    private void crash(Target t) {
        if (!mTargets.remove(t)) {
            return;
        }
        at(mNow + RESTART_MILLIS, this::addTarget);
        List<Request> cut = List.copyOf(t.running());
        t.running().clear();
        for (Request q : cut) {
            q.mCheck.onAttemptEnd(true, false, false);
            at(mNow + mRandom.nextInt(MAX_NOTICE_MILLIS), () -> onCrash(q, t));
        }
    }

    private void onCrash(Request q, Target t) {
        q.mRouter.mQuarantine.onCrash(q.mFingerprints, t.id());
        if (q.mAttempts < MAX_ATTEMPTS) {
            attempt(q);
        }
    }

    /** Crashes a random target for a reason that no request has caused. */
    void crashOne() {
        if (!mTargets.isEmpty()) {
            crash(mTargets.get(mRandom.nextInt(mTargets.size())));
        }
    }

    // ---------------------------------------------------------------- results

    /** Returns the times at which requests with a part were sent to targets. */
    List<Long> executions(String part) {
        return mExecutions.getOrDefault(part, List.of());
    }

    /** Returns the share of requests served at the first attempt, of those that pass the filter. */
    double servedShare(Predicate<Request> filter) {
        List<Request> some = mRequests.stream().filter(filter).toList();
        double served = some.stream().filter(Request::servedAtFirstAttempt).count();
        return some.isEmpty() ? 1 : served / some.size();
    }

    long gossipedEvents() {
        return mGossipedEvents;
    }

    int maxSuspects() {
        return mMaxSuspects;
    }

    /** Returns the number of conditional writes to the store. */
    int storeWrites() {
        return mRows.writes();
    }
}
