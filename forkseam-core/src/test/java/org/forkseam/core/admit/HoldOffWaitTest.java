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
 * Compares what a router does with requests while all targets of a pool hold off: refuse them at
 * once with the moment at which the first is free, or let them wait for it.
 *
 * <p>The load answered is that of a small pool of plain services as its operators give it: three
 * targets of six places and a queue of four, 43 ms of work, five routers, 58 requests a second with
 * 193 ms to be in time and 1,500 ms to be answered at all; callers come back once, when told. All
 * three ask for the same time, or are full in a burst and ask for a fixed one.
 */
class HoldOffWaitTest {
    private static final int ROUTERS = 5;
    private static final int TARGETS = 3;
    private static final int PLACES = 6;
    private static final int QUEUE = 4;
    private static final long WORK = 43;
    private static final long OBJECTIVE = 193;
    private static final long DEADLINE = 1_500;
    private static final long WAY = 3;
    private static final double PER_SECOND = 58;
    private static final long TROUBLE_AT = 5_000;
    private static final long END = 14_000;
    private static final int SEEDS = 40;

    /** Says how long a request may wait at its router for the first target that is free again. */
    private enum Policy {
        REFUSE,
        /** Half of its objective, so that as much is left for the answer. */
        WAIT_BRIEFLY,
        WAIT_IN_DEADLINE;

        boolean mayWait(long freeIn, long sinceFirst) {
            return switch (this) {
                case REFUSE -> false;
                case WAIT_BRIEFLY -> sinceFirst + freeIn <= OBJECTIVE / 2;
                case WAIT_IN_DEADLINE -> sinceFirst + freeIn + WORK + 2 * WAY <= DEADLINE;
            };
        }
    }

    /** Declares what the targets do: ask for a time together, or a time each when full. */
    private record Trouble(long askFor, double burst, long burstMillis) {}

    /** Counts what became of the requests that came from the trouble on. */
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

    /** Is a pool, its routers and callers in virtual time. */
    private static final class Pool {
        /** Is something that happens at a moment; those of one moment keep their order. */
        private record Event(long at, long order, LongConsumer what) {}

        /** Holds when a caller first asked, and how often it came back. */
        private record Request(long first, int tries) {}

        private final PriorityQueue<Event> mEvents =
                new PriorityQueue<>(
                        Comparator.comparingLong(Event::at).thenComparingLong(Event::order));
        private final List<List<Target>> mViews = new ArrayList<>();
        private final int[] mHeld = new int[TARGETS];
        private final Random mRandom;
        private final Policy mPolicy;
        private final Trouble mTrouble;
        private final Outcome mOutcome = new Outcome();
        private long mOrder;

        Pool(Policy policy, Trouble trouble, long seed) {
            mPolicy = policy;
            mTrouble = trouble;
            mRandom = new Random(seed);
            for (int r = 0; r < ROUTERS; r++) {
                List<Target> view = new ArrayList<>();
                for (int t = 0; t < TARGETS; t++) {
                    view.add(
                            Target.of(
                                    new TargetEntry(
                                            "t" + t, "p", "10.0.0.1:1", "z", PLACES, false, 0)));
                }
                mViews.add(view);
            }
        }

        Outcome run() {
            at(0, this::arrive);
            while (!mEvents.isEmpty()) {
                Event e = mEvents.poll();
                e.what().accept(e.at());
            }
            return mOutcome;
        }

        private void at(long when, LongConsumer what) {
            mEvents.add(new Event(when, mOrder++, what));
        }

        private void arrive(long now) {
            if (now >= END) {
                return;
            }
            boolean burst = now >= TROUBLE_AT && now < TROUBLE_AT + mTrouble.burstMillis();
            double rate = PER_SECOND * (burst ? mTrouble.burst() : 1);
            long next =
                    now + Math.max(1, Math.round(-Math.log(mRandom.nextDouble()) * 1_000 / rate));
            at(next, this::arrive);
            if (now >= TROUBLE_AT && now < TROUBLE_AT + 4_000) {
                mOutcome.mAll++;
            }
            ask(new Request(now, 0), now);
        }

        /** A caller sends its request to a router that the balancer picks. */
        private void ask(Request q, long now) {
            int router = mRandom.nextInt(ROUTERS);
            at(now + WAY, t -> place(q, router, 0, t));
        }

        private void place(Request q, int router, int attempts, long now) {
            List<Target> view = mViews.get(router);
            Optional<Target> free =
                    view.stream()
                            .filter(t -> t.takesWork(now))
                            .min(Comparator.comparingInt(Target::inFlight));
            if (free.isPresent() && attempts < 2) {
                send(q, router, view.indexOf(free.get()), attempts, now);
                return;
            }
            long freeIn =
                    view.stream()
                            .mapToLong(t -> Math.max(1, t.availability().holdOffUntil() - now))
                            .min()
                            .orElseThrow();
            if (mPolicy.mayWait(freeIn, now - q.first())) {
                at(now + freeIn, t -> place(q, router, 0, t));
                return;
            }
            comeBack(q, freeIn + (long) (mRandom.nextDouble() * freeIn / 10), now);
        }

        private void comeBack(Request q, long wait, long now) {
            long left = DEADLINE - (now - q.first());
            if (q.tries() > 0 || left <= 0) {
                return;
            }
            at(now + WAY + Math.min(wait, left / 3), t -> ask(new Request(q.first(), 1), t));
        }

        private void send(Request q, int router, int target, int attempts, long now) {
            Target view = mViews.get(router).get(target);
            view.onSent(now);
            Optional<Long> asks = asksFor(target, now);
            if (asks.isPresent()) {
                at(
                        now + 1,
                        t -> {
                            view.onEnded();
                            view.onHoldOff(asks.get(), t);
                            place(q, router, attempts + 1, t);
                        });
                return;
            }
            mHeld[target]++;
            long begins = mHeld[target] <= PLACES ? now : now + WORK; // after one of those there
            at(
                    begins + WORK,
                    t -> {
                        mHeld[target]--;
                        view.onEnded();
                        answered(q, t + WAY);
                    });
        }

        /** Returns for how long a target wants nothing if it turns a request away. */
        private Optional<Long> asksFor(int target, long now) {
            if (mTrouble.burst() > 1) {
                boolean full = mHeld[target] >= PLACES + QUEUE;
                return full ? Optional.of(mTrouble.askFor()) : Optional.empty();
            }
            long until = TROUBLE_AT + mTrouble.askFor();
            return now >= TROUBLE_AT && now < until ? Optional.of(until - now) : Optional.empty();
        }

        private void answered(Request q, long now) {
            if (q.first() < TROUBLE_AT || q.first() >= TROUBLE_AT + 4_000) {
                return;
            }
            long took = now - q.first();
            if (took <= OBJECTIVE) {
                mOutcome.mInTime++;
            } else if (took <= DEADLINE) {
                mOutcome.mLate++;
            }
        }
    }

    private static Outcome sum(Policy policy, Trouble trouble) {
        Outcome sum = new Outcome();
        for (int seed = 0; seed < SEEDS; seed++) {
            Outcome o = new Pool(policy, trouble, seed).run();
            sum.mAll += o.mAll;
            sum.mInTime += o.mInTime;
            sum.mLate += o.mLate;
        }
        return sum;
    }

    /** What the targets do, and the shares in time if requests are refused and if they wait. */
    private record Row(Trouble trouble, double refused, double waiting) {}

    private static final List<Row> MEASURED =
            List.of(
                    new Row(new Trouble(60, 1, 0), 0.992, 1.000),
                    new Row(new Trouble(120, 1, 0), 0.988, 1.000),
                    new Row(new Trouble(300, 1, 0), 0.956, 0.956),
                    new Row(new Trouble(1_000, 1, 0), 0.782, 0.782),
                    new Row(new Trouble(3_000, 1, 0), 0.287, 0.281),
                    new Row(new Trouble(100, 8, 3_000), 0.674, 0.712),
                    new Row(new Trouble(300, 8, 3_000), 0.280, 0.324),
                    new Row(new Trouble(1_000, 8, 3_000), 0.165, 0.181),
                    new Row(new Trouble(1_000, 12, 2_000), 0.116, 0.136));

    /** Means of fewer seeds than were measured differ by about so much. */
    private static final double TOLERANCE = 0.02;

    @Test
    void waitingBrieflyIsWorthMoreThanRefusing() {
        double refused = 0;
        double waiting = 0;
        for (Row r : MEASURED) {
            double refusing = sum(Policy.REFUSE, r.trouble()).inTime();
            double waits = sum(Policy.WAIT_BRIEFLY, r.trouble()).inTime();
            assertThat(refusing).isWithin(TOLERANCE).of(r.refused());
            assertThat(waits).isWithin(TOLERANCE).of(r.waiting());
            refused += refusing;
            waiting += waits;
        }
        assertThat(waiting).isGreaterThan(refused);
    }

    /** In a burst, what waits long takes the places of what could still be in time. */
    @Test
    void waitingUpToTheDeadlineCostsWhatIsInTime() {
        Trouble burst = new Trouble(300, 8, 3_000);
        assertThat(sum(Policy.WAIT_IN_DEADLINE, burst).inTime())
                .isLessThan(sum(Policy.REFUSE, burst).inTime() / 2);
    }
}
