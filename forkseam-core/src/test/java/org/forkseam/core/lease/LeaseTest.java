package org.forkseam.core.lease;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

import org.junit.jupiter.api.Test;

import java.util.Optional;
import java.util.Random;

/** No order of a former holder takes effect, however long it was paused. */
class LeaseTest {
    private static final long TTL = 9_000;

    /** Is one row with a revision. */
    private static final class Store {
        private LeaseRow mRow;
        private long mRevision;

        boolean write(LeaseWatch w, LeaseWatch.Step step, long expected) {
            boolean fits = step == LeaseWatch.Step.INSERT ? mRow == null : mRevision == expected;
            if (!fits) {
                return false;
            }
            mRow = w.next();
            mRevision++;
            return true;
        }

        void round(LeaseWatch w, long now, boolean answerArrives) {
            long seen = mRevision;
            LeaseWatch.Step step = w.onRead(Optional.ofNullable(mRow), seen, now);
            if (step != LeaseWatch.Step.WAIT && write(w, step, seen) && answerArrives) {
                w.onWritten(mRevision);
            }
        }
    }

    @Test
    void pausedHolderIsSucceededAndItsOrdersAreDropped() {
        Store s = new Store();
        LeaseWatch a = LeaseWatch.of("a", TTL);
        LeaseWatch b = LeaseWatch.of("b", TTL);
        s.round(a, 0, true);
        long oldFence = a.fence(0).orElseThrow();
        s.round(b, 0, true);
        assertThat(b.fence(0)).isEmpty();
        s.round(b, TTL, true);
        long newFence = b.fence(TTL).orElseThrow();
        assertThat(newFence).isGreaterThan(oldFence);
        FenceGuard guard = new FenceGuard();
        guard.learn(oldFence);
        assertThat(guard.admit(newFence)).isTrue();
        assertThat(guard.admit(oldFence)).isFalse();
        assertThat(a.fence(TTL)).isEmpty();
    }

    @Test
    void freshSidecarLetsNothingThroughBeforeItKnowsTheFence() {
        FenceGuard guard = new FenceGuard();
        assertThat(guard.admit(5)).isFalse();
        guard.learn(6);
        assertThat(guard.admit(5)).isFalse();
        assertThat(guard.admit(6)).isTrue();
    }

    @Property(tries = 300, seed = "61")
    void fencesOnlyGrowAndTwoNeverActAtOnce(@ForAll Random random) {
        Store s = new Store();
        LeaseWatch[] all = {
            LeaseWatch.of("a", TTL), LeaseWatch.of("b", TTL), LeaseWatch.of("c", TTL)
        };
        long now = 0;
        long highest = 0;
        for (int step = 0; step < 300; step++) {
            now += random.nextInt(2500);
            LeaseWatch w = all[random.nextInt(all.length)];
            s.round(w, now, random.nextInt(5) > 0);
            int acting = 0;
            for (LeaseWatch x : all) {
                Optional<Long> fence = x.fence(now);
                acting += fence.isPresent() ? 1 : 0;
                highest = Math.max(highest, fence.orElse(0L));
            }
            // With clocks that run alike; when they do not, the fence covers it.
            assertWithMessage("holders at " + now).that(acting).isAtMost(1);
            assertThat(s.mRow.fence()).isAtLeast(highest);
        }
    }
}
