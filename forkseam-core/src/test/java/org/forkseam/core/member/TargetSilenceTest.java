package org.forkseam.core.member;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

/** Tests how long a target counts as silent while responses are not read. */
class TargetSilenceTest {
    private final Target mTarget =
            Target.of(new TargetEntry("a", "p", "127.0.0.1:1", "z", 4, false, 0));

    /** Guards against slow callers that make the router take a working target for stuck. */
    @Test
    void targetWhoseResponsesAreNotReadIsNotSilent() {
        mTarget.onRequestSent(1_000);
        mTarget.onReadingPaused();
        assertThat(mTarget.silentMillis(9_000)).isEqualTo(0);
        mTarget.onReadingResumed(9_000);
        assertThat(mTarget.silentMillis(9_500)).isEqualTo(500);
    }

    /** Guards against a paused response that hides that the others get nothing. */
    @Test
    void targetIsSilentForRequestsThatAreRead() {
        mTarget.onRequestSent(1_000);
        mTarget.onReadingPaused();
        mTarget.onRequestSent(5_000);
        assertThat(mTarget.silentMillis(6_000)).isEqualTo(1_000);
        mTarget.onReadingResumed(6_000);
        assertThat(mTarget.silentMillis(6_500)).isEqualTo(1_500);
    }

    @Test
    void pauseEndsWithItsRequest() {
        mTarget.onRequestSent(1_000);
        mTarget.onReadingPaused();
        mTarget.onReadingResumed(2_000);
        mTarget.onRequestEnded();
        assertThat(mTarget.silentMillis(9_000)).isEqualTo(0);
        mTarget.onRequestSent(9_000);
        assertThat(mTarget.silentMillis(9_100)).isEqualTo(100);
    }
}
