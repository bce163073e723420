package org.forkseam.direct.flow;

import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;

import java.util.function.Consumer;

/** Brings one request to its end toward its caller, with the outcome's name. */
final class FinalAnswer {
    private final RouterContext mContext;
    private final CallerRequest mRequest;
    private final CallerSink mSink;
    private final Consumer<String> mOnEnd;

    /**
     * Creates the end of a request.
     *
     * @param onEnd is told the outcome's name before the caller gets it
     */
    FinalAnswer(
            RouterContext context, CallerRequest request, CallerSink sink, Consumer<String> onEnd) {
        mContext = context;
        mRequest = request;
        mSink = sink;
        mOnEnd = onEnd;
    }

    /** Ends a stream whose events the caller has got. */
    void endStream() {
        mOnEnd.accept("answered");
        mSink.end();
    }

    /** Passes on a target's whole answer. */
    void pass(Attempt a) {
        mOnEnd.accept("answered");
        mContext.counters().onFirstByte(mContext.now() - mRequest.receivedMillis());
        boolean bodiless = mRequest.method().equals(HttpMethod.HEAD);
        mSink.answer(mContext.answers().whole(a.head(), a.body(), bodiless));
    }

    /** Passes on a target's whole failure. */
    void passFailure(Attempt a) {
        mOnEnd.accept("target_failed");
        mSink.answer(mContext.answers().whole(a.head(), a.body(), false));
    }

    /** Answers what the configuration does not allow. */
    void turnAway(Gate.TurnedAway t) {
        own(
                "turned_away_" + t.status().code(),
                mContext.answers().own(mRequest.id(), t.status(), t.why()));
    }

    /** Refuses a request that has not run. */
    void refuse(String why, long backInMillis) {
        own(
                "refused_" + why,
                mContext.answers().notRun(mRequest.id(), "not run: " + why, backInMillis));
    }

    /** Refuses a request that has not run; coming back before is in vain. */
    void refuseBefore(String why, long backInMillis) {
        own(
                "refused_" + why,
                mContext.answers().notRunBefore(mRequest.id(), "not run: " + why, backInMillis));
    }

    /** Refuses a request under which targets end; coming back before is in vain. */
    void refuseQuarantined(long backInMillis) {
        String why = "targets have ended under this request";
        own(
                "refused_quarantined",
                mContext.answers().notRunBefore(mRequest.id(), "not run: " + why, backInMillis));
    }

    /** Refuses a request for which a router that has just started could not learn enough. */
    void refuseIgnorant(long backInMillis) {
        own(
                "no_config",
                mContext.answers().notRun(mRequest.id(), "no configuration", backInMillis));
    }

    /**
     * Ends a request that may have run.
     *
     * @param late whether its time is over
     */
    void fail(String why, boolean late) {
        HttpResponseStatus status =
                late ? HttpResponseStatus.GATEWAY_TIMEOUT : HttpResponseStatus.BAD_GATEWAY;
        own("failed_" + why, mContext.answers().own(mRequest.id(), status, "may have run: " + why));
    }

    /** Ends a stream of which the caller has got a part. */
    void breakOff() {
        mOnEnd.accept("broken_off");
        mSink.breakOff();
    }

    private void own(String outcome, FullHttpResponse r) {
        mOnEnd.accept(outcome);
        mSink.answer(r);
    }
}
