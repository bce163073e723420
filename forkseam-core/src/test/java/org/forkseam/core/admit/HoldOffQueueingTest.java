package org.forkseam.core.admit;

import static com.google.common.truth.Truth.assertThat;

import org.forkseam.core.member.Target;
import org.forkseam.core.member.TargetEntry;
import org.junit.jupiter.api.Test;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.function.LongConsumer;

/**
 * Compares two policies for requests while all targets of a pool hold off: refuse them with a retry
 * delay, or queue them until the first target is available.
 *
 * <p>Simulates a small pool of plain services behind several routers. Callers retry once, after the
 * delay given. The targets either hold off together, or refuse requests with a fixed hold-off when
 * full in a burst.
 */
class HoldOffQueueingTest {
    private static final int ROUTERS = 5;
    private static final int TARGETS = 3;
    private static final int SLOTS = 6;
    private static final int QUEUE_LIMIT = 4;
    private static final long SERVICE_MILLIS = 43;
    private static final long OBJECTIVE_MILLIS = 193;
    private static final long DEADLINE_MILLIS = 1_500;
    private static final long NETWORK_DELAY_MILLIS = 3;
    private static final double REQUESTS_PER_SECOND = 58;
    private static final long DISRUPTION_START_MILLIS = 5_000;
    private static final long END_MILLIS = 14_000;
    private static final int SEEDS = 40;

    /** Policies for requests that find no available target. */
    private enum Policy {
        REFUSE,
        /** Queues for up to half of the latency objective. */
        WAIT_BRIEFLY,
        WAIT_IN_DEADLINE;

        boolean mayWait(long availableIn, long elapsed) {
            return switch (this) {
                case REFUSE -> false;
                case WAIT_BRIEFLY -> elapsed + availableIn <= OBJECTIVE_MILLIS / 2;
                case WAIT_IN_DEADLINE ->
                        elapsed + availableIn + SERVICE_MILLIS + 2 * NETWORK_DELAY_MILLIS
                                <= DEADLINE_MILLIS;
            };
        }
    }

    /**
     * Disruption by the targets: a common hold-off, or a hold-off by each target that is full
     * during a burst.
     */
    private record Disruption(long holdOffMillis, double burst, long burstMillis) {}

    /** Counts the results of requests that arrived after the start of the disruption. */
    private static final class Outcome {
        private int mAll;
        private int mInTime;
        private int mLate;

        double inTime() {
            return (double) mInTime / mAll;
        }

        double served() {
            return (double) (mInTime + mLate) / mAll;
        }
    }

    /** Simulation of a pool, its routers and callers in virtual time. */
    private static final class Pool {
        /**
         * Simulation event; events at the same time are processed in the order they were scheduled.
         */
        private record Event(long at, long order, LongConsumer action) {}

        /** Request with its arrival time and number of retries. */
        private record Request(long arrivedAt, int tries) {}

        private final PriorityQueue<Event> mEvents =
                new PriorityQueue<>(
                        Comparator.comparingLong(Event::at).thenComparingLong(Event::order));
        private final List<List<Target>> mViews = new ArrayList<>();
        private final int[] mHeld = new int[TARGETS];
        private final Random mRandom;
        private final Policy mPolicy;
        private final Disruption mDisruption;
        private final Outcome mOutcome = new Outcome();
        private long mOrder;

        Pool(Policy policy, Disruption trouble, long seed) {
            mPolicy = policy;
            mDisruption = trouble;
            mRandom = new Random(seed);
            for (int r = 0; r < ROUTERS; r++) {
                List<Target> view = new ArrayList<>();
                for (int t = 0; t < TARGETS; t++) {
                    view.add(
                            Target.of(
                                    new TargetEntry(
                                            "t" + t, "p", "10.0.0.1:1", "z", SLOTS, false, 0)));
                }
                mViews.add(view);
            }
        }

        Outcome run() {
            schedule(0, this::arrive);
            while (!mEvents.isEmpty()) {
                Event e = mEvents.poll();
                e.action().accept(e.at());
            }
            return mOutcome;
        }

        private void schedule(long when, LongConsumer what) {
            mEvents.add(new Event(when, mOrder++, what));
        }

        private void arrive(long now) {
            if (now >= END_MILLIS) {
                return;
            }
            boolean burst =
                    now >= DISRUPTION_START_MILLIS
                            && now < DISRUPTION_START_MILLIS + mDisruption.burstMillis();
            double rate = REQUESTS_PER_SECOND * (burst ? mDisruption.burst() : 1);
            long next =
                    now + Math.max(1, Math.round(-Math.log(mRandom.nextDouble()) * 1_000 / rate));
            schedule(next, this::arrive);
            if (now >= DISRUPTION_START_MILLIS && now < DISRUPTION_START_MILLIS + 4_000) {
                mOutcome.mAll++;
            }
            submit(new Request(now, 0), now);
        }

        /** Sends a request to a random router. */
        private void submit(Request request, long now) {
            int router = mRandom.nextInt(ROUTERS);
            schedule(now + NETWORK_DELAY_MILLIS, t -> place(request, router, 0, t));
        }

        private void place(Request request, int router, int attempts, long now) {
            List<Target> view = mViews.get(router);
            Optional<Target> free =
                    view.stream()
                            .filter(t -> t.acceptsRequests(now))
                            .min(Comparator.comparingInt(Target::inFlight));
            if (free.isPresent() && attempts < 2) {
                send(request, router, view.indexOf(free.get()), attempts, now);
                return;
            }
            long availableIn =
                    view.stream()
                            .mapToLong(t -> Math.max(1, t.availability().holdOffUntil() - now))
                            .min()
                            .orElseThrow();
            if (mPolicy.mayWait(availableIn, now - request.arrivedAt())) {
                schedule(now + availableIn, t -> place(request, router, 0, t));
                return;
            }
            retry(request, availableIn + (long) (mRandom.nextDouble() * availableIn / 10), now);
        }

        private void retry(Request request, long wait, long now) {
            long left = DEADLINE_MILLIS - (now - request.arrivedAt());
            if (request.tries() > 0 || left <= 0) {
                return;
            }
            schedule(
                    now + NETWORK_DELAY_MILLIS + Math.min(wait, left / 3),
                    t -> submit(new Request(request.arrivedAt(), 1), t));
        }

        private void send(Request request, int router, int target, int attempts, long now) {
            Target view = mViews.get(router).get(target);
            view.onRequestSent(now);
            Optional<Long> holdOff = holdOffMillis(target, now);
            if (holdOff.isPresent()) {
                schedule(
                        now + 1,
                        t -> {
                            view.onRequestEnded();
                            view.onHoldOff(holdOff.get(), t);
                            place(request, router, attempts + 1, t);
                        });
                return;
            }
            mHeld[target]++;
            long serviceStart =
                    mHeld[target] <= SLOTS
                            ? now
                            : now + SERVICE_MILLIS; // after a request that is being served
            schedule(
                    serviceStart + SERVICE_MILLIS,
                    t -> {
                        mHeld[target]--;
                        view.onRequestEnded();
                        complete(request, t + NETWORK_DELAY_MILLIS);
                    });
        }

        /** Returns the requested hold-off if the target refuses a request. */
        private Optional<Long> holdOffMillis(int target, long now) {
            if (mDisruption.burst() > 1) {
                boolean full = mHeld[target] >= SLOTS + QUEUE_LIMIT;
                return full ? Optional.of(mDisruption.holdOffMillis()) : Optional.empty();
            }
            long until = DISRUPTION_START_MILLIS + mDisruption.holdOffMillis();
            return now >= DISRUPTION_START_MILLIS && now < until
                    ? Optional.of(until - now)
                    : Optional.empty();
        }

        private void complete(Request request, long now) {
            if (request.arrivedAt() < DISRUPTION_START_MILLIS
                    || request.arrivedAt() >= DISRUPTION_START_MILLIS + 4_000) {
                return;
            }
            long duration = now - request.arrivedAt();
            if (duration <= OBJECTIVE_MILLIS) {
                mOutcome.mInTime++;
            } else if (duration <= DEADLINE_MILLIS) {
                mOutcome.mLate++;
            }
        }
    }

    private static Outcome sum(Policy policy, Disruption trouble) {
        Outcome sum = new Outcome();
        for (int seed = 0; seed < SEEDS; seed++) {
            Outcome o = new Pool(policy, trouble, seed).run();
            sum.mAll += o.mAll;
            sum.mInTime += o.mInTime;
            sum.mLate += o.mLate;
        }
        return sum;
    }

    /** Disruption with the expected shares of requests in time for each policy. */
    private record Row(Disruption disruption, double refused, double waiting) {}

    private static final List<Row> EXPECTED =
            List.of(
                    new Row(new Disruption(60, 1, 0), 0.992, 1.000),
                    new Row(new Disruption(120, 1, 0), 0.988, 1.000),
                    new Row(new Disruption(300, 1, 0), 0.956, 0.956),
                    new Row(new Disruption(1_000, 1, 0), 0.782, 0.782),
                    new Row(new Disruption(3_000, 1, 0), 0.287, 0.281),
                    new Row(new Disruption(100, 8, 3_000), 0.674, 0.712),
                    new Row(new Disruption(300, 8, 3_000), 0.280, 0.324),
                    new Row(new Disruption(1_000, 8, 3_000), 0.165, 0.181),
                    new Row(new Disruption(1_000, 12, 2_000), 0.116, 0.136));

    /** Tolerance for the smaller number of seeds than used for the expected values. */
    private static final double TOLERANCE = 0.02;

    @Test
    void briefQueueingServesMoreInTimeThanRefusing() {
        double refused = 0;
        double waiting = 0;
        for (Row r : EXPECTED) {
            double refusing = sum(Policy.REFUSE, r.disruption()).inTime();
            double queueing = sum(Policy.WAIT_BRIEFLY, r.disruption()).inTime();
            assertThat(refusing).isWithin(TOLERANCE).of(r.refused());
            assertThat(queueing).isWithin(TOLERANCE).of(r.waiting());
            refused += refusing;
            waiting += queueing;
        }
        assertThat(waiting).isGreaterThan(refused);
    }

    /** In a burst, requests that queue for long displace those that could still be in time. */
    @Test
    void queueingUpToTheDeadlineReducesRequestsInTime() {
        Disruption burst = new Disruption(300, 8, 3_000);
        assertThat(sum(Policy.WAIT_IN_DEADLINE, burst).inTime())
                .isLessThan(sum(Policy.REFUSE, burst).inTime() / 2);
    }
}
