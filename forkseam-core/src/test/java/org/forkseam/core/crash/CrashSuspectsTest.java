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

/** Tests how crashes are counted against what requests ask for. */
class CrashSuspectsTest {
    private static final long CONTENT = 7;

    private final CrashSuspects mSuspects = CrashSuspects.create();

    private boolean crash(int crash, long now) {
        return mSuspects.take(new CrashFact(CONTENT, crash), now);
    }

    @Test
    void threeEndsOfTargetsConvict() {
        assertThat(crash(1, 0)).isTrue();
        assertThat(crash(2, 0)).isTrue();
        assertThat(mSuspects.isConvicted(CONTENT)).isFalse();
        assertThat(crash(3, 500_000)).isTrue();
        assertThat(mSuspects.isConvicted(CONTENT)).isTrue();
        assertThat(crash(4, 500_000)).isFalse();
    }

    /** News that is lost, doubled or overtaken never makes one crash into two. */
    @Property(tries = 300, seed = "33")
    void whatCountsIsHowManyTargetsEnded(
            @ForAll @Size(max = 30) List<@IntRange(min = 1, max = 5) Integer> crashes) {
        CrashSuspects s = CrashSuspects.create();
        Set<Integer> different = new HashSet<>();
        for (int c : crashes) {
            s.take(new CrashFact(CONTENT, c), 0);
            different.add(c);
        }
        assertThat(s.crashes(CONTENT))
                .isEqualTo(Math.min(CrashSuspects.CRASHES_TO_CONVICT, different.size()));
    }

    /** What was only beside two crashes and is then answered begins anew. */
    @Test
    void anAnswerClearsARequest() {
        crash(1, 0);
        crash(2, 0);
        assertThat(mSuspects.onAnswered(CONTENT, 1_000)).isTrue();
        assertThat(mSuspects.crashes(CONTENT)).isEqualTo(0);
        assertThat(mSuspects.onAnswered(CONTENT, 1_000)).isFalse();
    }

    /** One that is asked for all the time has requests at every target that ends. */
    @Test
    void whatIsAnsweredAgainAndAgainIsNoSuspect() {
        for (int i = 1; i < 100; i++) {
            mSuspects.onAnswered(CONTENT, i * 1_000L);
            assertThat(crash(i, i * 1_000L + 900)).isFalse();
        }
        assertThat(mSuspects.size()).isEqualTo(0);
    }

    /** With new software of targets, what was answered once may end them. */
    @Test
    void whatWasAnsweredLongAgoMayBeTheCause() {
        mSuspects.onAnswered(CONTENT, 0);
        assertThat(crash(1, 10_000)).isTrue();
    }

    /** Late news of a crash after another router's word that the request was answered. */
    @Test
    void lateNewsDoesNotBringBackWhatAnAnswerHasCleared() {
        crash(1, 0);
        mSuspects.take(CrashFact.answered(CONTENT), 100);
        assertThat(crash(1, 200)).isFalse();
        assertThat(crash(2, 200)).isFalse();
        assertThat(mSuspects.crashes(CONTENT)).isEqualTo(0);
    }

    /** A flood of others, each beside one crash, does not hide the one that comes again. */
    @Test
    void aFloodIsBoundedAndDoesNotHideTheCause() {
        for (int i = 1; i <= 3; i++) {
            crash(i, i);
            for (int other = 0; other < 4_000; other++) {
                mSuspects.take(new CrashFact(1_000_000L * i + other, i), i);
            }
        }
        assertThat(mSuspects.isConvicted(CONTENT)).isTrue();
        assertThat(mSuspects.size()).isAtMost(4_096);
    }
}
