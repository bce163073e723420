package org.forkseam.direct.flow;

import org.forkseam.core.share.StreamOrigin;
import org.forkseam.core.traffic.Route;
import org.forkseam.direct.know.FleetState;
import org.forkseam.direct.know.StreamOrigins;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Consumer;

/**
 * Origin of the stream that a request on a resumable route receives. Used on the event loop.
 *
 * <p>The origin is reported to other routers as soon as they cannot infer it any more, which may be
 * long after the stream has begun.
 */
final class ResumableStream {
    private final FleetState mFleetState;
    private final StreamOrigins mOrigins;
    private final Admission mAdmission;
    private final Optional<String> mFirstRequestId;
    private final boolean mResumed;
    private OptionalLong mSoftware = OptionalLong.empty();
    private boolean mReported;

    private ResumableStream(
            FleetState fleetState,
            Admission admission,
            Optional<String> firstRequestId,
            boolean resumed) {
        mFleetState = fleetState;
        mOrigins = fleetState.streamOrigins();
        mAdmission = admission;
        mFirstRequestId = firstRequestId;
        mResumed = resumed;
    }

    /** Creates the stream of an admitted request. */
    static ResumableStream of(FleetState fleetState, Admission admission, CallerRequest request) {
        boolean resumed = request.head().lastEventId().isPresent();
        Optional<String> id = resumed ? request.head().resumes() : Optional.of(request.id());
        return new ResumableStream(fleetState, admission, id, resumed);
    }

    /** Returns whether the caller resumes the stream. */
    boolean isResumed() {
        return mResumed;
    }

    /** Finds the software that began a resumed stream. */
    void findOrigin(Consumer<StreamOrigins.Result> listener) {
        // A caller that does not name the first request may still be served by a sole version.
        boolean known =
                isPoolKnown(mAdmission.route(), mFirstRequestId)
                        && mFleetState.isRouteSettled(mAdmission.route());
        String pool = known ? mAdmission.pool() : "";
        mOrigins.find(StreamOrigins.streamOf(mFirstRequestId.orElse("")), pool, listener);
    }

    /**
     * Returns whether the pool of a stream follows from the id of the request that began it. On a
     * split route, without that id, any of its pools may have begun the stream.
     */
    static boolean isPoolKnown(Route route, Optional<String> firstRequestId) {
        return firstRequestId.isPresent() || route.shares().size() <= 1;
    }

    /** Records that the first events were passed on. */
    void onEvents(long softwareKey) {
        if (mSoftware.isPresent() || mFirstRequestId.isEmpty()) {
            return;
        }
        mSoftware = OptionalLong.of(softwareKey);
        mOrigins.record(origin());
        reportUnlessInferable();
    }

    /** Reports the stream if other routers cannot infer its origin. */
    void reportUnlessInferable() {
        if (mReported || mSoftware.isEmpty() || isInferable()) {
            return;
        }
        mReported = mOrigins.report(origin());
    }

    private boolean isInferable() {
        return mFleetState.isRouteSettled(mAdmission.route())
                && mOrigins.isInferable(mAdmission.pool());
    }

    private StreamOrigin origin() {
        return new StreamOrigin(
                StreamOrigins.streamOf(mFirstRequestId.orElseThrow()), mSoftware.getAsLong());
    }
}
