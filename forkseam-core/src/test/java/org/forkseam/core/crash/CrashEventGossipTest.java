package org.forkseam.core.crash;

import static com.google.common.truth.Truth.assertThat;

import org.forkseam.core.share.GossipQueue;
import org.forkseam.core.share.LoadGossip;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Tests in virtual time how quickly routers detect a poison request by gossip. The request crashes
 * a target at regular intervals, with other requests in flight; messages are lost, delayed and
 * duplicated.
 */
class CrashEventGossipTest {
    private static final int BYSTANDERS = 12;
    private static final int CRASH_INTERVAL_MILLIS = 375;
    private static final long CONTENT = Fingerprint.ofContent(-1);
    private static final long PART = Fingerprint.ofPart("bad");

    /** Keeps the ids of different crashes apart, which for parts are times in milliseconds. */
    private static final int CRASH_ID_STEP = 1_000;

    /** Router that records and forwards events. */
    private static final class Router {
        private final PoisonRequestDetector mDetector = PoisonRequestDetector.create();
        private final GossipQueue<CrashEvent> mExchange =
                GossipQueue.of(
                        CrashEvent.MAX_PER_MESSAGE, f -> mDetector.crashCount(f.fingerprint()));

        void onEvent(CrashEvent f, long now) {
            if (mDetector.onEvent(f, now)) {
                mExchange.add(f);
            }
        }
    }

    /** Delayed message. */
    private record Delayed(Router to, List<CrashEvent> events) {}

    private final SplittableRandom mRandom = new SplittableRandom(33);
    private final List<Router> mRouters = new ArrayList<>();
    private List<Delayed> mDelayed = new ArrayList<>();
    private int mMaxEvents;

    private Router any() {
        return mRouters.get(mRandom.nextInt(mRouters.size()));
    }

    /** Returns a random other router, or the same one if it is the only one. */
    private Router otherThan(Router r) {
        int own = mRouters.indexOf(r);
        int others = mRouters.size() - 1;
        return others == 0 ? r : mRouters.get((own + 1 + mRandom.nextInt(others)) % (others + 1));
    }

    private void round(long now) {
        List<Delayed> due = mDelayed;
        mDelayed = new ArrayList<>();
        due.forEach(l -> l.events().forEach(f -> l.to().onEvent(f, now)));
        for (Router r : mRouters) {
            List<CrashEvent> events = r.mExchange.nextBatch();
            mMaxEvents = Math.max(mMaxEvents, events.size());
            deliver(otherThan(r), events, now);
        }
    }

    private void deliver(Router to, List<CrashEvent> events, long now) {
        int fate = mRandom.nextInt(10);
        if (fate == 0) {
            return; // lost
        }
        if (fate != 1) {
            events.forEach(f -> to.onEvent(f, now));
        }
        if (fate <= 2) {
            mDelayed.add(new Delayed(to, events)); // delayed or duplicated
        }
    }

    private void crash(long cause, int crash, long now) {
        Router observer = any();
        observer.onEvent(new CrashEvent(cause, crash * CRASH_ID_STEP), now);
        for (int i = 0; i < BYSTANDERS; i++) {
            any().onEvent(new CrashEvent(1_000L * crash + i, crash * CRASH_ID_STEP), now);
        }
    }

    private boolean anyDetects(long content) {
        return mRouters.stream().anyMatch(r -> r.mDetector.isPoison(content));
    }

    /**
     * The first router to detect the request writes a row that all routers read. It has half of the
     * 3 s, counted from the third crash, in which all routers must know.
     */
    @ParameterizedTest
    @CsvSource({"1, 0", "5, 500", "23, 1000", "340, 1500"})
    void poisonRequestIsDetectedInTime(int routers, long withinMillis) {
        for (int i = 0; i < routers; i++) {
            mRouters.add(new Router());
        }
        for (int run = 0; run < 40; run++) {
            long cause = run % 2 == 0 ? CONTENT : PART;
            mRouters.replaceAll(r -> new Router());
            mDelayed.clear();
            long third = 2 * CRASH_INTERVAL_MILLIS;
            for (long now = 0; now <= third + withinMillis; now += LoadGossip.PERIOD_MILLIS) {
                if (now <= third && now % CRASH_INTERVAL_MILLIS == 0) {
                    crash(cause, (int) (now / CRASH_INTERVAL_MILLIS) + 1, now);
                }
                assertThat(now < third && anyDetects(cause)).isFalse();
                round(now);
            }
            assertThat(anyDetects(cause)).isTrue();
            for (int bystander = 0; bystander < BYSTANDERS; bystander++) {
                assertThat(anyDetects(1_000 + bystander)).isFalse();
            }
        }
        assertThat(mMaxEvents).isAtMost(CrashEvent.MAX_PER_MESSAGE);
    }

    /**
     * All routers know of three crashes, and one sees an answer. Gossip alone must clear the
     * request on nearly all routers within 3 s; the remaining ones read the row that releases the
     * request.
     */
    @ParameterizedTest
    @CsvSource({"2, 1.0", "5, 0.95", "23, 0.95", "340, 0.95"})
    void answerClearsTheRequestOnNearlyAllRouters(int routers, double share) {
        for (int i = 0; i < routers; i++) {
            mRouters.add(new Router());
        }
        int cleared = 0;
        for (int run = 0; run < 20; run++) {
            mRouters.replaceAll(r -> new Router());
            mDelayed.clear();
            for (Router r : mRouters) {
                for (int crash = 1; crash <= 3; crash++) {
                    r.mDetector.onEvent(new CrashEvent(CONTENT, crash), 0);
                }
            }
            any().onEvent(CrashEvent.answered(CONTENT), 0);
            for (long now = 0; now <= 3_000; now += LoadGossip.PERIOD_MILLIS) {
                round(now);
            }
            cleared += mRouters.stream().filter(r -> !r.mDetector.isPoison(CONTENT)).count();
        }
        assertThat(cleared).isAtLeast((int) (share * 20 * routers));
    }
}
