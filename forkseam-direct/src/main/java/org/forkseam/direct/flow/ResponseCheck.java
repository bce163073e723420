package org.forkseam.direct.flow;

import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;

import org.forkseam.direct.spi.ResponseHead;

import java.util.Optional;

/**
 * Decides from the head of a target's response what the response counts as for a request, provided
 * that it arrives whole. Stateless.
 */
final class ResponseCheck {
    private static final int MIN_STATUS = 200;
    private static final int MAX_STATUS = 599;
    private static final int MAX_LOGGED = 64;

    private ResponseCheck() {}

    /**
     * Returns what a response counts as; empty if it does not belong to the request.
     *
     * @param requestId the id of the request, which is not empty
     */
    static Optional<AttemptResult> check(String requestId, HttpResponse r, ResponseHead head) {
        if (!belongsTo(requestId, r, head)) {
            return Optional.empty();
        }
        String status = "status " + r.status().code();
        Optional<String> fault = fault(r);
        if (fault.isPresent()) {
            return Optional.of(
                    AttemptResult.of(AttemptResult.Kind.MALFORMED, status + ", " + fault.get()));
        }
        return Optional.of(AttemptResult.of(kind(r, head), status));
    }

    /** Returns whether a response belongs to the request; only errors may lack an id. */
    private static boolean belongsTo(String requestId, HttpResponse r, ResponseHead head) {
        return head.requestId().isEmpty()
                ? !isSuccess(r)
                : head.requestId().get().equals(requestId);
    }

    /** Describes why a response with the request's id cannot be the target's, with its values. */
    private static Optional<String> fault(HttpResponse r) {
        int status = r.status().code();
        if (status < MIN_STATUS || status > MAX_STATUS) {
            return Optional.of(MIN_STATUS + " to " + MAX_STATUS + " allowed");
        }
        return Optional.empty();
    }

    private static AttemptResult.Kind kind(HttpResponse r, ResponseHead head) {
        if (head.wrongTarget()) {
            return AttemptResult.Kind.WRONG_TARGET;
        }
        if (head.notRun()) {
            return AttemptResult.Kind.REFUSED;
        }
        boolean isServerError = r.status().codeClass() == HttpStatusClass.SERVER_ERROR;
        return isServerError ? AttemptResult.Kind.FAILED : AttemptResult.Kind.ANSWERED;
    }

    private static boolean isSuccess(HttpResponse r) {
        return r.status().codeClass() == HttpStatusClass.SUCCESS;
    }

    /** Describes a response that does not belong to the request, for logs. */
    static String describeOther(HttpResponse r, ResponseHead head) {
        String ids = head.requestId().map(ResponseCheck::cut).orElse("none");
        return "status " + r.status().code() + ", request id " + ids + ", own one required";
    }

    /** Returns the text of a value that a target has sent, with a length that fits a log line. */
    private static String cut(String text) {
        return text.length() <= MAX_LOGGED ? text : text.substring(0, MAX_LOGGED);
    }
}
