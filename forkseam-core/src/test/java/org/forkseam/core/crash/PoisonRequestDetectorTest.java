package org.forkseam.core.crash;

import static com.google.common.truth.Truth.assertThat;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

import org.junit.jupiter.api.Test;

import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** Tests the detection of poison requests. */
class PoisonRequestDetectorTest {
    private static final long CONTENT = 7;

    private final PoisonRequestDetector mDetector = PoisonRequestDetector.create();

    private boolean crash(int crash, long now) {
        return mDetector.onEvent(new CrashEvent(CONTENT, crash), now);
    }

    @Test
    void threeCrashesMarkARequestAsPoison() {
        assertThat(crash(1, 0)).isTrue();
        assertThat(crash(2, 0)).isTrue();
        assertThat(mDetector.isPoison(CONTENT)).isFalse();
        assertThat(crash(3, 500_000)).isTrue();
        assertThat(mDetector.isPoison(CONTENT)).isTrue();
        assertThat(crash(4, 500_000)).isFalse();
    }

    /** Lost, duplicate and reordered events never count a crash twice. */
    @Property(tries = 300, seed = "33")
    void duplicateEventsAreCountedOnce(
            @ForAll @Size(max = 30) List<@IntRange(min = 1, max = 5) Integer> crashes) {
        PoisonRequestDetector s = PoisonRequestDetector.create();
        Set<Integer> distinct = new HashSet<>();
        for (int c : crashes) {
            s.onEvent(new CrashEvent(CONTENT, c), 0);
            distinct.add(c);
        }
        assertThat(s.crashCount(CONTENT))
                .isEqualTo(Math.min(PoisonRequestDetector.CRASH_THRESHOLD, distinct.size()));
    }

    /** A bystander of two crashes that is then answered is no longer a suspect. */
    @Test
    void anAnswerClearsARequest() {
        crash(1, 0);
        crash(2, 0);
        assertThat(mDetector.onAnswered(CONTENT, 1_000)).isTrue();
        assertThat(mDetector.crashCount(CONTENT)).isEqualTo(0);
        assertThat(mDetector.onAnswered(CONTENT, 1_000)).isFalse();
    }

    /** A frequent request is in flight in every crash. */
    @Test
    void frequentlyAnsweredRequestIsNoSuspect() {
        for (int i = 1; i < 100; i++) {
            mDetector.onAnswered(CONTENT, i * 1_000L);
            assertThat(crash(i, i * 1_000L + 900)).isFalse();
        }
        assertThat(mDetector.suspectCount()).isEqualTo(0);
    }

    /** A request that was answered before may crash a new version of the targets. */
    @Test
    void oldAnswerDoesNotClearARequest() {
        mDetector.onAnswered(CONTENT, 0);
        assertThat(crash(1, 10_000)).isTrue();
    }

    /** A crash event may arrive after another router's report that the request was answered. */
    @Test
    void lateEventDoesNotRestoreAClearedSuspect() {
        crash(1, 0);
        mDetector.onEvent(CrashEvent.answered(CONTENT), 100);
        assertThat(crash(1, 200)).isFalse();
        assertThat(crash(2, 200)).isFalse();
        assertThat(mDetector.crashCount(CONTENT)).isEqualTo(0);
    }

    /** Many bystanders of single crashes must not evict a request that recurs. */
    @Test
    void memoryIsBoundedAndRetainsTheCause() {
        for (int i = 1; i <= 3; i++) {
            crash(i, i);
            for (int other = 0; other < 4_000; other++) {
                mDetector.onEvent(new CrashEvent(1_000_000L * i + other, i), i);
            }
        }
        assertThat(mDetector.isPoison(CONTENT)).isTrue();
        assertThat(mDetector.suspectCount()).isAtMost(4_096);
    }
}
