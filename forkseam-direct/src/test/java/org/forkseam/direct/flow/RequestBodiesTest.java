package org.forkseam.direct.flow;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/** Tests the bound on the memory of all request bodies. */
class RequestBodiesTest {
    private static final int MB = 1 << 20;
    private static final long MAX_BYTES = 32 * MB;

    private final RequestBodies mBodies = RequestBodies.of(MAX_BYTES);
    private final List<Integer> mAdmitted = new ArrayList<>();

    private RequestBodies.Reservation reserve(int number, int bytes) {
        return mBodies.reserve(bytes, () -> mAdmitted.add(number));
    }

    /** Guards against memory that grows with the number of callers, and against overtaking. */
    @Test
    void bodiesBeyondTheBoundWaitInOrder() {
        List<RequestBodies.Reservation> all = new ArrayList<>();
        for (int i = 0; i < 29; i++) {
            all.add(reserve(i, 4 * MB));
        }
        assertThat(mAdmitted).containsExactly(0, 1, 2, 3, 4, 5, 6, 7).inOrder();
        for (int i = 0; i < all.size(); i++) {
            assertThat(mBodies.totalBytes()).isAtMost(MAX_BYTES);
            assertThat(all.get(i).isAdmitted()).isTrue();
            all.get(i).release();
        }
        assertThat(mAdmitted).hasSize(29);
        assertThat(mAdmitted).isInOrder();
        assertThat(mBodies.totalBytes()).isEqualTo(0);
    }

    /** Guards against memory that callers keep which have left, whether they waited or not. */
    @Test
    void releasedBodiesTakeNoMemory() {
        Random random = new Random(1);
        List<RequestBodies.Reservation> open = new ArrayList<>();
        for (int i = 0; i < 10_000; i++) {
            if (open.size() < 20 && random.nextBoolean()) {
                open.add(reserve(i, 1 + random.nextInt(4 * MB)));
            } else if (!open.isEmpty()) {
                RequestBodies.Reservation r = open.remove(random.nextInt(open.size()));
                r.release();
                r.release();
            }
            assertThat(mBodies.totalBytes()).isAtMost(MAX_BYTES);
        }
        open.forEach(RequestBodies.Reservation::release);
        assertThat(mBodies.totalBytes()).isEqualTo(0);
        reserve(-1, MB);
        assertThat(mAdmitted).contains(-1);
    }

    /** Guards against a body that waits for ever because it is larger than the bound. */
    @Test
    void bodyAboveTheBoundIsReadAlone() {
        RequestBodies.Reservation other = reserve(0, MB);
        RequestBodies.Reservation large = reserve(1, 64 * MB);
        assertThat(large.isAdmitted()).isFalse();
        other.release();
        assertThat(large.isAdmitted()).isTrue();
    }
}
