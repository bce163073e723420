package org.forkseam.daemon.router;

import org.forkseam.core.claim.ClaimRow;
import org.forkseam.core.outcome.AttemptFailure;
import org.forkseam.core.outcome.RefusalReason;
import org.forkseam.daemon.sidecar.ClaimStore;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * Makes sure that "not run" is true of an unrepeatable request as a whole, and not only of the
 * attempts of this router: an earlier one of the same id may have run elsewhere.
 */
final class ClaimLookup {
    private final ClaimStore mStore;

    ClaimLookup(ClaimStore store) {
        mStore = store;
    }

    /** Returns the refusal as it stands, or that the request may have run. */
    CompletableFuture<AttemptFailure> confirmNotRun(CallerRequest request, AttemptFailure why) {
        return mStore.read(ClaimStore.key(request.team(), request.id()))
                .handle((seen, e) -> e == null ? judge(seen, why) : why);
    }

    private static AttemptFailure judge(
            Optional<ClaimStore.VersionedClaim> seen, AttemptFailure why) {
        boolean ran = seen.isPresent() && seen.get().row().state() != ClaimRow.State.ABANDONED;
        boolean otherRequest = why.reason() == RefusalReason.ID_REUSED;
        return ran && !otherRequest
                ? AttemptFailure.mayHaveRun(RefusalReason.CLAIMED_ELSEWHERE)
                        .withDetail(seen.get().row().owner())
                : why;
    }
}
