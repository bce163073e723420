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
 * Executes requests that must run at most once: claims each before sending it to the target, and
 * records its result. Not thread-safe; used on the event loop.
 */
final class UnrepeatableExecutor {
    private static final long CLAIM_RELEASE_TIMEOUT_MILLIS = 300;
    private static final long DONE_RETRY_DELAY_MILLIS = 500;
    private static final int MAX_DONE_RETRIES = 8;
    private static final int MAX_BACKOFF_DOUBLINGS = 5;

    private final Eventloop mLoop;
    private final Clock mClock;
    private final ClaimManager mClaims;
    private final TargetClient mTarget;
    private final AdmissionController<Exchange> mAdmission;
    private final SidecarCounters mCounters;

    UnrepeatableExecutor(
            Eventloop loop,
            Clock clock,
            ClaimManager claims,
            TargetClient target,
            AdmissionController<Exchange> admission,
            SidecarCounters counters) {
        mLoop = loop;
        mClock = clock;
        mClaims = claims;
        mTarget = target;
        mAdmission = admission;
        mCounters = counters;
    }

    private static String key(Exchange e) {
        return ClaimStore.key(e.request().getTeam(), e.request().getRequestId());
    }

    /** Claims an admitted request, and sends it to the target if the claim succeeds. */
    void start(Exchange e) {
        mClaims.claim(key(e), e.request().getFingerprint()).thenAccept(r -> onClaimed(e, r));
    }

    private void onClaimed(Exchange e, ClaimManager.Result r) {
        mCounters.onClaim(r.step().name());
        switch (r.step()) {
            case RUN -> send(e, r);
            case REPLAY -> replay(e, r);
            // An attempt of this sidecar holds the claim but failed; otherwise this request would
            // have joined it.
            case JOIN -> refuseUnsent(e, AttemptFailure.mayHaveRun(RefusalReason.NOT_KEPT));
            case ASK_OWNER ->
                    refuseUnsent(
                            e,
                            AttemptFailure.notRun(RefusalReason.CLAIMED_ELSEWHERE, 0)
                                    .withOwner(r.lastRow().map(ClaimRow::owner).orElse("")));
            case ID_REUSED -> refuseUnsent(e, AttemptFailure.notRun(RefusalReason.ID_REUSED, 0));
            case MAY_HAVE_RUN ->
                    refuseUnsent(e, AttemptFailure.mayHaveRun(RefusalReason.UNKNOWN_ATTEMPT));
            default -> refuseUnsent(e, AttemptFailure.notRun(RefusalReason.STORE_DOWN, 1_000));
        }
    }

    private void send(Exchange e, ClaimManager.Result r) {
        boolean expired =
                mClock.nowMillis() - e.arrivedMillis() >= e.request().getRemainingMillis();
        if (e.isEnded() || expired) {
            mClaims.abandon(key(e), r, e.request().getFingerprint());
            refuseUnsent(e, AttemptFailure.notRun(RefusalReason.DEADLINE, 0));
            return;
        }
        e.setClaim(r);
        e.send(mTarget, mClock.nowMillis());
    }

    private void replay(Exchange e, ClaimManager.Result r) {
        Optional<StoredResponse> stored =
                r.lastRow().map(ClaimRow::answer).flatMap(StoredResponse::fromJson);
        if (stored.isEmpty()) {
            refuseUnsent(e, AttemptFailure.mayHaveRun(RefusalReason.NOT_KEPT));
            return;
        }
        mAdmission.release(0);
        mCounters.onReplayed();
        e.replay(stored.get(), mClock.nowMillis());
    }

    private void refuseUnsent(Exchange e, AttemptFailure refused) {
        mAdmission.release(0);
        e.refuse(refused);
    }

    /** Records that a claimed request ran, with its response if that is small enough. */
    void onEnded(Exchange e) {
        if (e.claim().isPresent()) {
            recordDone(e, 0);
        }
    }

    private void recordDone(Exchange e, int retries) {
        String response = StoredResponse.of(e).map(StoredResponse::toJson).orElse("");
        mClaims.markDone(key(e), e.claim().orElseThrow(), e.request().getFingerprint(), response)
                .thenAccept(r -> retryIfUnknown(e, r, retries));
    }

    /** Retries with backoff while the write's outcome is unknown; the claim stays in place. */
    private void retryIfUnknown(Exchange e, TxnResult result, int retries) {
        if (result instanceof TxnResult.Unknown && retries < MAX_DONE_RETRIES) {
            long delay = DONE_RETRY_DELAY_MILLIS << Math.min(retries, MAX_BACKOFF_DOUBLINGS);
            mLoop.delay(delay, () -> recordDone(e, retries + 1));
        }
    }

    /**
     * Abandons the claim of a request that the target never received. The router is notified only
     * after that, or after a timeout, so that another target can claim the request.
     */
    void releaseClaim(Exchange e, AttemptFailure refused) {
        if (e.claim().isEmpty()) {
            e.refuse(refused);
            return;
        }
        CompletableFuture<Void> abandoned =
                mClaims.abandon(key(e), e.claim().get(), e.request().getFingerprint());
        e.clearClaim();
        abandoned.thenRun(() -> e.refuse(refused));
        mLoop.delay(CLAIM_RELEASE_TIMEOUT_MILLIS, () -> e.refuse(refused));
    }
}
