package org.forkseam.daemon.sidecar;

import io.activej.eventloop.Eventloop;

import org.forkseam.core.claim.ClaimRow;
import org.forkseam.core.outcome.AttemptFailure;
import org.forkseam.core.outcome.RefusalReason;
import org.forkseam.core.util.Clock;
import org.forkseam.platform.TxnResult;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * Runs requests that may run at most once: claims first, hands over then, and writes down what came
 * of it. Used on the event loop.
 */
final class UnrepeatableRuns {
    private static final long GIVE_BACK_MILLIS = 300;
    private static final long DONE_AGAIN_MILLIS = 500;
    private static final int DONE_TRIES = 8;
    private static final int MAX_DOUBLINGS = 5;

    private final Eventloop mLoop;
    private final Clock mClock;
    private final Claims mClaims;
    private final TargetClient mTarget;
    private final TargetGate<Exchange> mGate;
    private final SidecarCounters mCounters;

    UnrepeatableRuns(
            Eventloop loop,
            Clock clock,
            Claims claims,
            TargetClient target,
            TargetGate<Exchange> gate,
            SidecarCounters counters) {
        mLoop = loop;
        mClock = clock;
        mClaims = claims;
        mTarget = target;
        mGate = gate;
        mCounters = counters;
    }

    private static String key(Exchange e) {
        return ClaimStore.key(e.request().getTeam(), e.request().getRequestId());
    }

    /** Claims a request that holds a slot of the gate, and runs it if that succeeds. */
    void start(Exchange e) {
        mClaims.claim(key(e), e.request().getFingerprint()).thenAccept(r -> onClaimed(e, r));
    }

    private void onClaimed(Exchange e, Claims.Result r) {
        mCounters.onClaim(r.step().name());
        switch (r.step()) {
            case RUN -> run(e, r);
            case REPLAY -> replay(e, r);
            // The attempt that holds the claim broke off here, or this one would have joined it.
            case JOIN -> endUnrun(e, AttemptFailure.mayHaveRun(RefusalReason.NOT_KEPT));
            case ASK_OWNER ->
                    endUnrun(
                            e,
                            AttemptFailure.notRun(RefusalReason.CLAIMED_ELSEWHERE, 0)
                                    .withOwner(r.seen().map(ClaimRow::owner).orElse("")));
            case ID_REUSED -> endUnrun(e, AttemptFailure.notRun(RefusalReason.ID_REUSED, 0));
            case MAY_HAVE_RUN ->
                    endUnrun(e, AttemptFailure.mayHaveRun(RefusalReason.UNKNOWN_ATTEMPT));
            default -> endUnrun(e, AttemptFailure.notRun(RefusalReason.STORE_DOWN, 1_000));
        }
    }

    private void run(Exchange e, Claims.Result r) {
        boolean late = mClock.nowMillis() - e.arrivedMillis() >= e.request().getRemainingMillis();
        if (e.isOver() || late) {
            mClaims.abandon(key(e), r, e.request().getFingerprint());
            endUnrun(e, AttemptFailure.notRun(RefusalReason.DEADLINE, 0));
            return;
        }
        e.setClaim(r);
        e.run(mTarget, mClock.nowMillis());
    }

    private void replay(Exchange e, Claims.Result r) {
        Optional<StoredAnswer> stored = r.seen().map(ClaimRow::answer).flatMap(StoredAnswer::read);
        if (stored.isEmpty()) {
            endUnrun(e, AttemptFailure.mayHaveRun(RefusalReason.NOT_KEPT));
            return;
        }
        mGate.release(0);
        mCounters.onReplayed();
        e.replay(stored.get(), mClock.nowMillis());
    }

    private void endUnrun(Exchange e, AttemptFailure refused) {
        mGate.release(0);
        e.refuse(refused);
    }

    /** Writes down that a claimed request ran, with its answer if that is small enough. */
    void onEnded(Exchange e) {
        if (e.claim().isPresent()) {
            writeDone(e, 0);
        }
    }

    private void writeDone(Exchange e, int tries) {
        String answer = StoredAnswer.of(e).map(StoredAnswer::write).orElse("");
        mClaims.done(key(e), e.claim().orElseThrow(), e.request().getFingerprint(), answer)
                .thenAccept(r -> writeAgain(e, r, tries));
    }

    /** Tries again while the table service is down; the claim itself stands meanwhile. */
    private void writeAgain(Exchange e, TxnResult result, int tries) {
        if (result instanceof TxnResult.Unknown && tries < DONE_TRIES) {
            long delay = DONE_AGAIN_MILLIS << Math.min(tries, MAX_DOUBLINGS);
            mLoop.delay(delay, () -> writeDone(e, tries + 1));
        }
    }

    /**
     * Gives back the claim of a request that its target never got, before the router hears of the
     * refusal, so that another target may run it.
     */
    void giveBack(Exchange e, AttemptFailure refused) {
        if (e.claim().isEmpty()) {
            e.refuse(refused);
            return;
        }
        CompletableFuture<Void> given =
                mClaims.abandon(key(e), e.claim().get(), e.request().getFingerprint());
        e.dropClaim();
        given.thenRun(() -> e.refuse(refused));
        mLoop.delay(GIVE_BACK_MILLIS, () -> e.refuse(refused));
    }
}
