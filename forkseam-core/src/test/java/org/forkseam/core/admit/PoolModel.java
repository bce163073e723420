package org.forkseam.core.admit;

import org.forkseam.core.member.Target;
import org.forkseam.core.member.TargetEntry;
import org.forkseam.core.outcome.RetryAfter;
import org.forkseam.core.outcome.RetryDelayEstimator;
import org.forkseam.core.route.LeastLoadedPicker;
import org.forkseam.core.route.PickRequest;
import org.forkseam.core.share.LoadGossip;
import org.forkseam.core.share.LoadReading;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.function.LongConsumer;
import java.util.function.LongToDoubleFunction;
import java.util.function.Predicate;
import java.util.stream.Stream;

/**
 * Model of a pool of targets with slots and bounded queues, of routers that exchange load readings,
 * and of callers that return once after the retry delay, in virtual time.
 */
final class PoolModel {
    static final int TARGETS = 16;
    static final int SLOTS = 6;
    static final int QUEUE = 24;
    static final long WORK_MILLIS = 40;
    static final double CAPACITY = TARGETS * SLOTS * 1_000.0 / WORK_MILLIS;
    static final long OBJECTIVE_MILLIS = 150;
    static final long DEADLINE_MILLIS = 1_000;
    private static final long NETWORK_MILLIS = 1;
    private static final int ATTEMPTS = 3;

    /** Kind of request: its priority and team, and its work as a multiple of the usual. */
    record Kind(double weight, int priority, String team, int size) {}

    /** Configuration of a run. */
    record Setup(
            int routers,
            List<Kind> kinds,
            LongToDoubleFunction load,
            Optional<ControllerFactory> controller,
            boolean reportsLoad) {}

    /** Creates the share controller of a router; none for a pool without admission. */
    interface ControllerFactory {
        ShareController create(long now);
    }

    /** Final result of a request as its caller sees it. */
    record Result(Kind kind, long arrivedAt, long endedAt, boolean answered, boolean returned) {
        long millis() {
            return endedAt - arrivedAt;
        }

        boolean inTime() {
            return answered && millis() <= OBJECTIVE_MILLIS * kind.size();
        }
    }

    /** Simulation event; events at the same time are processed in the order they were added. */
    private record Event(long at, long order, LongConsumer action) {}

    /** Request at a router. */
    private record Call(Kind kind, long arrivedAt, boolean returned, AdmissionRequest request) {}

    /** Target that serves its queue in order of arrival. */
    private final class Server {
        private int mRunning;
        private final Deque<LongConsumer> mWaiting = new ArrayDeque<>();

        int load() {
            return mRunning + mWaiting.size();
        }

        boolean offer(LongConsumer start, long now) {
            if (mRunning < SLOTS) {
                mRunning++;
                start.accept(now);
                return true;
            }
            return mWaiting.size() < QUEUE && mWaiting.add(start);
        }

        void release(long now) {
            mRunning--;
            if (!mWaiting.isEmpty()) {
                mRunning++;
                mWaiting.poll().accept(now);
            }
        }
    }

    /** Router with its own view of the targets. */
    private final class Router {
        private final List<Target> mView = new ArrayList<>();
        private final Optional<PoolAdmission> mAdmission;
        private final RetryDelayEstimator mDelay = RetryDelayEstimator.startingAt(0);
        private final LeastLoadedPicker mPicker = LeastLoadedPicker.of(mRandom);

        Router(long now) {
            mAdmission =
                    mSetup.controller().map(c -> PoolAdmission.of(mRandom, c.create(now), now));
            for (int i = 0; i < TARGETS; i++) {
                mView.add(Target.of(new TargetEntry("t" + i, "p", "a:1", "z", SLOTS, false, 0)));
            }
        }

        void gossip(long now) {
            Router other = mRouters.get(mRandom.nextInt(mRouters.size()));
            List<LoadReading> news = LoadGossip.newestReadings(mView, now);
            LoadGossip.apply(
                    news,
                    h -> other.mView.stream().filter(t -> t.shortHash() == h).findFirst(),
                    now);
            at(now + LoadGossip.PERIOD_MILLIS, this::gossip);
        }

        void arrive(Call c, long now) {
            if (mAdmission.isEmpty()) {
                send(c, new ArrayList<>(), now);
                return;
            }
            act(c, mAdmission.get().decide(c.request(), mView, now), new ArrayList<>(), now);
        }

        private void act(Call c, Decision d, List<Target> tried, long now) {
            if (d instanceof Decision.Reject r) {
                reject(c, r.retryAfterMillis(), now);
            } else if (d instanceof Decision.Hold h) {
                at(
                        h.untilMillis(),
                        t ->
                                act(
                                        c,
                                        mAdmission.get().decideAdmitted(c.request(), mView, t),
                                        new ArrayList<>(),
                                        t));
            } else {
                send(c, tried, now);
            }
        }

        private void reject(Call c, long delay, long now) {
            mResults.add(new Result(c.kind(), c.arrivedAt(), now, false, c.returned()));
            if (!c.returned()) {
                at(now + RetryAfter.withJitter(delay, mRandom), t -> submit(c.kind(), true, t));
            }
        }

        private void send(Call c, List<Target> tried, long now) {
            List<Target> left =
                    mView.stream().filter(t -> !tried.contains(t) && !t.isFull(now)).toList();
            if (left.isEmpty()) {
                left = mView.stream().filter(t -> !tried.contains(t)).toList();
            }
            Target t =
                    mPicker.pick(new PickRequest("", 0, null, 0), left, now).orElseThrow().target();
            tried.add(t);
            t.onRequestSent(now);
            Server s = mServers[mView.indexOf(t)];
            at(
                    now + NETWORK_MILLIS,
                    x -> {
                        if (!s.offer(b -> run(c, s, t, b), x)) {
                            at(x + NETWORK_MILLIS, y -> onRefused(c, t, tried, y));
                        }
                    });
        }

        private void run(Call c, Server s, Target t, long now) {
            long work =
                    (long) (WORK_MILLIS * c.kind().size() * (0.75 + 0.5 * mRandom.nextDouble()));
            at(
                    now + work,
                    x -> {
                        s.release(x);
                        int load = s.load();
                        at(x + NETWORK_MILLIS, y -> onAnswered(c, t, load, y));
                    });
        }

        private void onRefused(Call c, Target t, List<Target> tried, long now) {
            t.onRequestEnded();
            t.onRequestRefused(now);
            mAdmission.ifPresent(a -> a.onFull(now));
            if (tried.size() >= ATTEMPTS) {
                reject(c, mDelay.onRefused(now), now);
            } else if (mAdmission.isPresent()) {
                act(c, mAdmission.get().decideAdmitted(c.request(), mView, now), tried, now);
            } else {
                send(c, tried, now);
            }
        }

        private void onAnswered(Call c, Target t, int load, long now) {
            t.onRequestEnded();
            if (mSetup.reportsLoad()) {
                t.onLoadReported(load, now);
            }
            mDelay.onServed(now);
            long millis = now - c.arrivedAt();
            mAdmission.ifPresent(
                    a ->
                            a.onAnswered(
                                    c.kind().priority(),
                                    millis,
                                    OBJECTIVE_MILLIS * c.kind().size(),
                                    now));
            mResults.add(new Result(c.kind(), c.arrivedAt(), now, true, c.returned()));
        }
    }

    private final Setup mSetup;
    private final Random mRandom;
    private final PriorityQueue<Event> mEvents =
            new PriorityQueue<>(
                    Comparator.comparingLong(Event::at).thenComparingLong(Event::order));
    private final Server[] mServers = new Server[TARGETS];
    private final List<Router> mRouters = new ArrayList<>();
    private long mOrder;
    private final List<Result> mResults = new ArrayList<>();

    PoolModel(Setup setup, long seed) {
        mSetup = setup;
        mRandom = new Random(seed);
        Arrays.setAll(mServers, i -> new Server());
        for (int i = 0; i < setup.routers(); i++) {
            addRouter(0);
        }
    }

    private void addRouter(long now) {
        Router r = new Router(now);
        mRouters.add(r);
        at(now + mRandom.nextLong(LoadGossip.PERIOD_MILLIS), r::gossip);
    }

    void at(long when, LongConsumer action) {
        mEvents.add(new Event(when, mOrder++, action));
    }

    /** Replaces the first routers by ones that start without state. */
    void restartRouters(int count, long now) {
        for (int i = 0; i < count; i++) {
            mRouters.set(i, new Router(now));
        }
    }

    void run(long until) {
        at(0, this::arrive);
        while (mEvents.peek().at() < until) {
            Event e = mEvents.poll();
            e.action().accept(e.at());
        }
    }

    private void arrive(long now) {
        double perMilli = CAPACITY / 1_000 * mSetup.load().applyAsDouble(now);
        for (double t = next(perMilli); t < 1; t += next(perMilli)) {
            submit(pickKind(), false, now);
        }
        at(now + 1, this::arrive);
    }

    private double next(double rate) {
        return -Math.log(1 - mRandom.nextDouble()) / rate;
    }

    private Kind pickKind() {
        double p = mRandom.nextDouble() * mSetup.kinds().stream().mapToDouble(Kind::weight).sum();
        for (Kind k : mSetup.kinds()) {
            p -= k.weight();
            if (p < 0) {
                return k;
            }
        }
        return mSetup.kinds().get(0);
    }

    private void submit(Kind k, boolean returned, long now) {
        AdmissionRequest r =
                new AdmissionRequest(
                        k.priority(),
                        OBJECTIVE_MILLIS * k.size(),
                        now,
                        now + DEADLINE_MILLIS * k.size(),
                        k.team());
        mRouters.get(mRandom.nextInt(mRouters.size())).arrive(new Call(k, now, returned, r), now);
    }

    /** Returns the mean admitted share of some routers. */
    double meanShare(int from, int to, long now) {
        return mRouters.subList(from, to).stream()
                .mapToDouble(r -> r.mAdmission.orElseThrow().share(now))
                .average()
                .orElseThrow();
    }

    // ---------------------------------------------------------------- results

    Stream<Result> results(Predicate<Result> filter) {
        return mResults.stream().filter(filter);
    }

    /** Returns the answers in time within a period as a fraction of the targets' capacity. */
    double goodput(long from, long to) {
        long inTime =
                results(r -> r.inTime() && r.endedAt() >= from && r.endedAt() < to)
                        .mapToLong(r -> r.kind().size())
                        .sum();
        return inTime / (CAPACITY * (to - from) / 1_000);
    }

    /** Returns the fraction of the callers' first requests that have a property. */
    double fraction(Predicate<Result> filter, Predicate<Result> property) {
        return results(r -> !r.returned() && filter.test(r))
                .mapToInt(r -> property.test(r) ? 1 : 0)
                .average()
                .orElseThrow();
    }

    long maxRejectMillis() {
        return mResults.stream()
                .filter(r -> !r.answered())
                .mapToLong(Result::millis)
                .max()
                .orElse(0);
    }
}
