package org.forkseam.direct.flow;

import org.forkseam.core.member.Target;
import org.forkseam.core.outcome.AttemptPatience;
import org.forkseam.core.outcome.AttemptState;
import org.forkseam.core.outcome.AttemptState.TargetQueue;
import org.forkseam.core.outcome.PoolPressure;

import java.util.Optional;
import java.util.OptionalLong;

/**
 * Checks for one request whether its attempt is stalled: by {@link AttemptPatience} in contended
 * pools, by {@link StallDetector} in other pools and once a stream has started. Used on the event
 * loop.
 */
final class StallCheck {
    private final RouterContext mContext;
    private final TargetSelection mTargetSelection;
    private TargetQueue mQueueAtStart = TargetQueue.UNKNOWN;
    private AttemptPatience.Verdict mVerdict = AttemptPatience.Verdict.WAIT;
    private boolean mWithheldCounted;

    StallCheck(RouterContext context, TargetSelection targetSelection) {
        mContext = context;
        mTargetSelection = targetSelection;
    }

    /** Stores the target's queue before an attempt starts. */
    void onAttemptStart(Target t) {
        mQueueAtStart = queue(t, mContext.now());
        mVerdict = AttemptPatience.Verdict.WAIT;
        mWithheldCounted = false;
    }

    /**
     * Records the time until the first event of a stream or until a complete response, which is
     * neither a failure nor a rejection.
     */
    void onResponse(Attempt a, Admission admission) {
        long now = mContext.now();
        patience(admission).ifPresent(p -> p.onResponse(a.sentMillis(now), mQueueAtStart, now));
    }

    /** Returns whether the attempt is stalled; counts a second attempt that is withheld. */
    boolean isStalled(Attempt a, Admission admission, StreamRelay stream, long readUntil) {
        Optional<AttemptPatience> patience = patience(admission);
        boolean streaming = stream.isStarted();
        if (streaming || patience.isEmpty()) {
            mVerdict = AttemptPatience.Verdict.WAIT;
            return StallDetector.isStalled(
                    admission.route(),
                    streaming ? stream.pauseMillis(a, readUntil) : a.silentMillis(readUntil),
                    a.target().silentMillis(readUntil),
                    streaming);
        }
        AttemptState state = state(a, admission, readUntil);
        mVerdict = patience.get().judge(state, pressure(admission), readUntil);
        countIfWithheld();
        return mVerdict.abandons();
    }

    /** Counts a withheld second attempt once per attempt. */
    private void countIfWithheld() {
        if (mVerdict.isWithheld() && !mWithheldCounted) {
            mWithheldCounted = true;
            mContext.meters().onSecondAttemptWithheld(mVerdict.tag());
        }
    }

    /** Records that the attempt was abandoned for a second one. */
    void onAbandoned(Admission admission) {
        if (!mVerdict.abandons()) {
            return;
        }
        mContext.meters().onSecondAttempt(mVerdict.tag());
        patience(admission).ifPresent(p -> p.onSecondAttempt(mContext.now()));
    }

    /** Returns the timeout that applied to the attempt; empty in pools with a fixed one. */
    OptionalLong timeoutMillis(Attempt a, Admission admission) {
        if (mVerdict == AttemptPatience.Verdict.SILENT) {
            return OptionalLong.of(AttemptPatience.TARGET_SILENT_MILLIS);
        }
        long now = mContext.now();
        return patience(admission)
                .map(p -> OptionalLong.of(p.timeoutMillis(state(a, admission, now), now)))
                .orElse(OptionalLong.empty());
    }

    private Optional<AttemptPatience> patience(Admission admission) {
        return mContext.attemptPatience(admission.pool());
    }

    private AttemptState state(Attempt a, Admission admission, long now) {
        return new AttemptState(
                a.silentMillis(now),
                a.target().silentMillis(now),
                queue(a.target(), now).withAtLeast(mQueueAtStart.waiting()),
                admission.route().latencyMillis(),
                admission.remainingMillis(now));
    }

    private PoolPressure pressure(Admission admission) {
        return new PoolPressure(
                mContext.admissions().isShort(admission.pool()),
                mTargetSelection.hasUntriedTargetWithRoom(admission));
    }

    private static TargetQueue queue(Target t, long now) {
        long age = t.loadReportAgeMillis(now);
        return new TargetQueue(
                t.waiting(now), t.entry().slots(), t.slowdown(now), age < 0 ? Long.MAX_VALUE : age);
    }
}
