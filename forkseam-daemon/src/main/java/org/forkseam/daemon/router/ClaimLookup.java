package org.forkseam.daemon.router;

import org.forkseam.core.claim.ClaimRow;
import org.forkseam.core.outcome.AttemptFailure;
import org.forkseam.core.outcome.RefusalReason;
import org.forkseam.daemon.sidecar.ClaimStore;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * Verifies against the claim store that an unrepeatable request has not run, since another router
 * may have submitted the same request id. Immutable.
 */
final class ClaimLookup {
    private final ClaimStore mStore;

    ClaimLookup(ClaimStore store) {
        mStore = store;
    }

    /** Returns the given refusal, or "may have run" if the store has an active claim. */
    CompletableFuture<AttemptFailure> confirmNotRun(CallerRequest request, AttemptFailure why) {
        return mStore.read(ClaimStore.key(request.team(), request.id()))
                .handle((claim, e) -> e == null ? reconcile(claim, why) : why);
    }

    private static AttemptFailure reconcile(
            Optional<ClaimStore.VersionedClaim> claim, AttemptFailure why) {
        boolean ran = claim.isPresent() && claim.get().row().state() != ClaimRow.State.ABANDONED;
        boolean otherRequest = why.reason() == RefusalReason.ID_REUSED;
        return ran && !otherRequest
                ? AttemptFailure.mayHaveRun(RefusalReason.CLAIMED_ELSEWHERE)
                        .withDetail(claim.get().row().owner())
                : why;
    }
}
