package org.forkseam.direct.flow;

import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;

import java.util.function.Consumer;

/** Sends the final response of a request and reports its outcome. Used on the event loop. */
final class FinalResponse {
    private final RouterContext mContext;
    private final CallerRequest mRequest;
    private final ResponseSink mSink;
    private final Consumer<String> mOnEnd;
    private boolean mEnded;

    /**
     * Creates the final response of a request.
     *
     * @param onEnd receives the outcome's name before the response is sent
     */
    FinalResponse(
            RouterContext context,
            CallerRequest request,
            ResponseSink sink,
            Consumer<String> onEnd) {
        mContext = context;
        mRequest = request;
        mSink = sink;
        mOnEnd =
                outcome -> {
                    mEnded = true;
                    onEnd.accept(outcome);
                };
    }

    /** Completes a stream. */
    void completeStream() {
        mOnEnd.accept("answered");
        mSink.complete();
    }

    /** Forwards a target's complete response. */
    void forward(Attempt a) {
        mOnEnd.accept("answered");
        mContext.meters().onFirstByte(mContext.now() - mRequest.receivedMillis());
        boolean bodiless = mRequest.method().equals(HttpMethod.HEAD);
        mSink.respond(mContext.responses().full(a.head(), a.body(), bodiless));
    }

    /**
     * Forwards a target's error response. One without a length is whole only if its target lives.
     */
    void forwardFailure(Attempt a) {
        if (!a.bodyDelimiter().equals(Attempt.DELIMITED_BY_CLOSE)) {
            sendFailure(a);
            return;
        }
        mContext.livenessCheck().check(a.target(), liveness -> onLiveness(a, liveness));
    }

    private void onLiveness(Attempt a, LivenessCheck.Result liveness) {
        if (mEnded || !mSink.isOpen()) {
            return; // the deadline has passed, or the caller has left
        }
        if (liveness == LivenessCheck.Result.LIVES) {
            sendFailure(a);
        } else {
            fail("broken", false);
        }
    }

    private void sendFailure(Attempt a) {
        mOnEnd.accept("target_failed");
        mSink.respond(mContext.responses().full(a.head(), a.body(), false));
    }

    /** Rejects a request that the configuration does not allow. */
    void reject(AdmissionCheck.Rejected r) {
        respondLocally(
                "turned_away_" + r.status().code(),
                mContext.responses().local(mRequest.id(), r.status(), r.reason()));
    }

    /** Refuses a request that was not run. */
    void refuse(String reason, long retryAfterMillis) {
        respondLocally(
                "refused_" + reason,
                mContext.responses()
                        .unavailable(mRequest.id(), "not run: " + reason, retryAfterMillis));
    }

    /** Refuses a request that was not run and cannot succeed before the given time. */
    void refuseUntil(String reason, long retryAfterMillis) {
        respondLocally(
                "refused_" + reason,
                mContext.responses()
                        .unavailableUntil(mRequest.id(), "not run: " + reason, retryAfterMillis));
    }

    /** Refuses a quarantined request. */
    void refuseQuarantined(long retryAfterMillis) {
        String reason = "targets have ended under this request or a part of its prompt";
        respondLocally(
                "refused_quarantined",
                mContext.responses()
                        .unavailableUntil(mRequest.id(), "not run: " + reason, retryAfterMillis));
    }

    /** Refuses a request because the router has no configuration yet. */
    void refuseUnconfigured(long retryAfterMillis) {
        respondLocally(
                "no_config",
                mContext.responses()
                        .unavailable(mRequest.id(), "no configuration", retryAfterMillis));
    }

    /**
     * Reports the failure of a request that may have run.
     *
     * @param late whether the deadline has passed
     */
    void fail(String reason, boolean late) {
        HttpResponseStatus status =
                late ? HttpResponseStatus.GATEWAY_TIMEOUT : HttpResponseStatus.BAD_GATEWAY;
        respondLocally(
                "failed_" + reason,
                mContext.responses().local(mRequest.id(), status, "may have run: " + reason));
    }

    /** Aborts a partially sent stream. */
    void abortStream() {
        mOnEnd.accept("broken_off");
        mSink.abort();
    }

    private void respondLocally(String outcome, FullHttpResponse r) {
        mOnEnd.accept(outcome);
        mSink.respond(r);
    }
}
