package org.forkseam.direct.flow;

import org.forkseam.core.member.Target;
import org.forkseam.core.place.PlacementPolicy;
import org.forkseam.core.route.Pick;
import org.forkseam.core.traffic.Pool;
import org.forkseam.direct.know.PromptPlacements;

import java.util.Optional;

/**
 * Placement of the prompt of one request by a coordinator, while engines may be empty. Used on the
 * event loop.
 */
final class PromptPlacement {
    private final RouterContext mContext;
    private final TargetSelection mTargetSelection;
    private Optional<PromptPlacements.Result> mResult = Optional.empty();
    private Optional<Target> mSelected = Optional.empty();
    private boolean mUsed;
    private boolean mReported;
    private boolean mEnded;

    PromptPlacement(RouterContext context, TargetSelection targetSelection) {
        mContext = context;
        mTargetSelection = targetSelection;
    }

    // ---------------------------------------------------------------- selection

    /**
     * Finds the engine for a prompt that is to be placed; other requests continue immediately.
     *
     * @param next continues the request, before this method returns if no reply is awaited
     */
    void find(Admission a, Runnable next) {
        Optional<Target> home = homeIfToBePlaced(a);
        if (home.isEmpty()) {
            next.run();
            return;
        }
        mContext.fleetState()
                .placements()
                .place(
                        mTargetSelection.promptParts(),
                        home.get(),
                        r -> {
                            mResult = Optional.of(r);
                            mTargetSelection.onPlaced(r);
                            if (mEnded) {
                                report(false); // the caller has disconnected meanwhile
                            }
                            next.run();
                        });
    }

    /** Returns the home of a prompt that a coordinator places; empty if none does. */
    private Optional<Target> homeIfToBePlaced(Admission a) {
        boolean engine = a.config().pool(a.pool()).filter(Pool::engine).isPresent();
        if (!engine || !mContext.isContended(a.pool())) {
            return Optional.empty();
        }
        PlacementPolicy policy = mContext.fleetState().placementPolicy();
        long now = mContext.now();
        policy.onRequest(a.pool(), now);
        if (!policy.isActive(a.pool(), now) || !mTargetSelection.allowsWholePool(a)) {
            return Optional.empty();
        }
        return mTargetSelection
                .home(a)
                .filter(
                        h ->
                                policy.isToBePlaced(
                                        new PlacementPolicy.Request(
                                                a.pool(),
                                                true,
                                                mTargetSelection.sharedTokens(),
                                                h.entry().id(),
                                                mTargetSelection.isHolderKnown(),
                                                mTargetSelection.requiresSoftware()),
                                        now));
    }

    /** Records which target the request is sent to, and counts the result of the placement once. */
    void onTargetSelected(Pick pick) {
        boolean first = mSelected.isEmpty();
        mSelected = Optional.of(pick.target());
        if (!first || mResult.isEmpty()) {
            return;
        }
        mUsed = pick.reason() == Pick.Reason.PLACED;
        switch (mResult.get().source()) {
            case PLACED -> mContext.meters().onPlacement(usedAs(pick));
            case NO_ENGINE -> mContext.meters().onPlacement("unusable");
            case TIMEOUT -> mContext.meters().onPlacement("timeout");
            default -> {} // no coordinator was asked
        }
    }

    private String usedAs(Pick pick) {
        if (!mUsed) {
            return "unusable";
        }
        return pick.rank() == 0 ? "home" : "placed";
    }

    /** Returns the coordinator that selected the target; empty if none did. */
    Optional<String> placedBy() {
        return mUsed ? mResult.map(PromptPlacements.Result::placedBy) : Optional.empty();
    }

    // ---------------------------------------------------------------- report

    /** Reports the end of the prefill, once. */
    void onFirstEvent() {
        report(true);
    }

    /** Reports the end of an attempt without events, or a complete answer. */
    void onAttemptEnded(boolean answered) {
        report(answered);
    }

    /** Reports a request that ended without an answer. */
    void onRequestEnded() {
        mEnded = true;
        report(false);
    }

    private void report(boolean ok) {
        if (mReported || mResult.filter(PromptPlacements.Result::isReported).isEmpty()) {
            return;
        }
        mReported = true;
        mContext.fleetState().placements().report(mResult.get(), mSelected, ok);
    }
}
