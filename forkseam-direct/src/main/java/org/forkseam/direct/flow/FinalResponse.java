package org.forkseam.direct.flow;

import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;

import java.util.function.Consumer;

/** Brings one request to its end toward its caller, with the outcome's name. */
final class FinalResponse {
    private final RouterContext mContext;
    private final CallerRequest mRequest;
    private final ResponseSink mSink;
    private final Consumer<String> mOnEnd;

    /**
     * Creates the end of a request.
     *
     * @param onEnd is told the outcome's name before the caller gets it
     */
    FinalResponse(
            RouterContext context,
            CallerRequest request,
            ResponseSink sink,
            Consumer<String> onEnd) {
        mContext = context;
        mRequest = request;
        mSink = sink;
        mOnEnd = onEnd;
    }

    /** Ends a stream whose events the caller has got. */
    void completeStream() {
        mOnEnd.accept("answered");
        mSink.complete();
    }

    /** Passes on a target's whole answer. */
    void forward(Attempt a) {
        mOnEnd.accept("answered");
        mContext.meters().onFirstByte(mContext.now() - mRequest.receivedMillis());
        boolean bodiless = mRequest.method().equals(HttpMethod.HEAD);
        mSink.respond(mContext.responses().full(a.head(), a.body(), bodiless));
    }

    /** Passes on a target's whole failure. */
    void forwardFailure(Attempt a) {
        mOnEnd.accept("target_failed");
        mSink.respond(mContext.responses().full(a.head(), a.body(), false));
    }

    /** Answers what the configuration does not allow. */
    void reject(AdmissionCheck.Rejected t) {
        respondLocally(
                "turned_away_" + t.status().code(),
                mContext.responses().local(mRequest.id(), t.status(), t.reason()));
    }

    /** Refuses a request that has not run. */
    void refuse(String why, long backInMillis) {
        respondLocally(
                "refused_" + why,
                mContext.responses().unavailable(mRequest.id(), "not run: " + why, backInMillis));
    }

    /** Refuses a request that has not run; coming back before is in vain. */
    void refuseUntil(String why, long backInMillis) {
        respondLocally(
                "refused_" + why,
                mContext.responses()
                        .unavailableUntil(mRequest.id(), "not run: " + why, backInMillis));
    }

    /** Refuses a request under which targets end; coming back before is in vain. */
    void refuseQuarantined(long backInMillis) {
        String why = "targets have ended under this request";
        respondLocally(
                "refused_quarantined",
                mContext.responses()
                        .unavailableUntil(mRequest.id(), "not run: " + why, backInMillis));
    }

    /** Refuses a request for which a router that has just started could not learn enough. */
    void refuseUnconfigured(long backInMillis) {
        respondLocally(
                "no_config",
                mContext.responses().unavailable(mRequest.id(), "no configuration", backInMillis));
    }

    /**
     * Ends a request that may have run.
     *
     * @param late whether its time is over
     */
    void fail(String why, boolean late) {
        HttpResponseStatus status =
                late ? HttpResponseStatus.GATEWAY_TIMEOUT : HttpResponseStatus.BAD_GATEWAY;
        respondLocally(
                "failed_" + why,
                mContext.responses().local(mRequest.id(), status, "may have run: " + why));
    }

    /** Ends a stream of which the caller has got a part. */
    void abortStream() {
        mOnEnd.accept("broken_off");
        mSink.abort();
    }

    private void respondLocally(String outcome, FullHttpResponse r) {
        mOnEnd.accept(outcome);
        mSink.respond(r);
    }
}
