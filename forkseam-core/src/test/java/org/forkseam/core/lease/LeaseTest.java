package org.forkseam.core.lease;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

import org.junit.jupiter.api.Test;

import java.util.Optional;
import java.util.Random;

/** Tests that no order of a former lease holder takes effect. */
class LeaseTest {
    private static final long TTL = 9_000;

    /** Row with a revision. */
    private static final class Store {
        private LeaseRow mRow;
        private long mRevision;

        boolean write(LeaseElector w, LeaseElector.Step step, long expected) {
            boolean fits = step == LeaseElector.Step.INSERT ? mRow == null : mRevision == expected;
            if (!fits) {
                return false;
            }
            mRow = w.next();
            mRevision++;
            return true;
        }

        void round(LeaseElector w, long now, boolean answerArrives) {
            long seen = mRevision;
            LeaseElector.Step step = w.onRead(Optional.ofNullable(mRow), seen, now);
            if (step != LeaseElector.Step.WAIT && write(w, step, seen) && answerArrives) {
                w.onWritten(mRevision);
            }
        }
    }

    @Test
    void pausedHolderIsReplacedAndItsOrdersAreRejected() {
        Store s = new Store();
        LeaseElector a = LeaseElector.of("a", TTL);
        LeaseElector b = LeaseElector.of("b", TTL);
        s.round(a, 0, true);
        long oldFence = a.fence(0).orElseThrow();
        s.round(b, 0, true);
        assertThat(b.fence(0)).isEmpty();
        s.round(b, TTL, true);
        long newFence = b.fence(TTL).orElseThrow();
        assertThat(newFence).isGreaterThan(oldFence);
        FenceGuard guard = new FenceGuard();
        guard.initialize(oldFence);
        assertThat(guard.admit(newFence)).isTrue();
        assertThat(guard.admit(oldFence)).isFalse();
        assertThat(a.fence(TTL)).isEmpty();
    }

    @Test
    void uninitializedGuardRejectsAllOrders() {
        FenceGuard guard = new FenceGuard();
        assertThat(guard.admit(5)).isFalse();
        guard.initialize(6);
        assertThat(guard.admit(5)).isFalse();
        assertThat(guard.admit(6)).isTrue();
    }

    @Property(tries = 300, seed = "61")
    void fencesIncreaseAndAtMostOneHolderActs(@ForAll Random random) {
        Store s = new Store();
        LeaseElector[] all = {
            LeaseElector.of("a", TTL), LeaseElector.of("b", TTL), LeaseElector.of("c", TTL)
        };
        long now = 0;
        long highest = 0;
        for (int step = 0; step < 300; step++) {
            now += random.nextInt(2500);
            LeaseElector w = all[random.nextInt(all.length)];
            s.round(w, now, random.nextInt(5) > 0);
            int acting = 0;
            for (LeaseElector elector : all) {
                Optional<Long> fence = elector.fence(now);
                acting += fence.isPresent() ? 1 : 0;
                highest = Math.max(highest, fence.orElse(0L));
            }
            // Holds for clocks of equal rate; otherwise the fencing token provides safety.
            assertWithMessage("holders at " + now).that(acting).isAtMost(1);
            assertThat(s.mRow.fence()).isAtLeast(highest);
        }
    }
}
