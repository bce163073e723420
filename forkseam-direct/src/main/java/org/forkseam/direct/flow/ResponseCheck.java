package org.forkseam.direct.flow;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;

import org.forkseam.direct.spi.ResponseHead;

import java.util.List;
import java.util.Optional;

/**
 * Decides from the head of a target's response what the response counts as for a request, provided
 * that it arrives whole. Stateless.
 */
final class ResponseCheck {
    private static final int MIN_STATUS = 200;
    private static final int MAX_STATUS = 599;
    private static final int MAX_LOGGED = 64;

    /** Statuses with which a target may report that it did not run a request. */
    private static final List<Integer> REFUSALS =
            List.of(
                    HttpResponseStatus.BAD_REQUEST.code(),
                    HttpResponseStatus.REQUEST_TIMEOUT.code(),
                    HttpResponseStatus.MISDIRECTED_REQUEST.code(),
                    HttpResponseStatus.TOO_MANY_REQUESTS.code(),
                    HttpResponseStatus.SERVICE_UNAVAILABLE.code());

    /** Statuses that callers take to mean that a request was not run and will not be. */
    private static final List<Integer> PROMISES =
            List.of(
                    HttpResponseStatus.REQUEST_TIMEOUT.code(),
                    HttpResponseStatus.MISDIRECTED_REQUEST.code(),
                    HttpResponseStatus.TOO_MANY_REQUESTS.code(),
                    HttpResponseStatus.SERVICE_UNAVAILABLE.code());

    private ResponseCheck() {}

    /**
     * Returns what a response counts as; empty if it does not belong to the request.
     *
     * @param requestId the id of the request, which is not empty
     */
    static Optional<AttemptResult> check(String requestId, HttpResponse r, ResponseHead head) {
        if (!head.requestIds().contains(requestId)) {
            return Optional.empty();
        }
        String status = "status " + r.status().code();
        Optional<String> fault = fault(r, head);
        if (fault.isPresent()) {
            return Optional.of(
                    AttemptResult.of(AttemptResult.Kind.MALFORMED, status + ", " + fault.get()));
        }
        return Optional.of(AttemptResult.of(kind(r, head), status));
    }

    /** Describes why a response with the request's id cannot be the target's, with its values. */
    private static Optional<String> fault(HttpResponse r, ResponseHead head) {
        int status = r.status().code();
        if (status < MIN_STATUS || status > MAX_STATUS) {
            return Optional.of(MIN_STATUS + " to " + MAX_STATUS + " allowed");
        }
        if (head.requestIds().size() > 1) {
            return Optional.of("request ids " + cut(head.requestIds()) + ", one allowed");
        }
        if (head.signatures().size() > 1) {
            return Optional.of("signatures " + cut(head.signatures()) + ", one allowed");
        }
        if (r.headers().contains(HttpHeaderNames.CONTENT_ENCODING)) {
            String encoding = r.headers().get(HttpHeaderNames.CONTENT_ENCODING);
            return Optional.of("content encoding " + cut(encoding) + ", none allowed");
        }
        if (head.notRun() && !REFUSALS.contains(status)) {
            return Optional.of("not run, " + REFUSALS + " allowed");
        }
        boolean isSigned = head.signatures().stream().anyMatch(s -> !s.isEmpty());
        if (isSuccess(r) && !isSigned) {
            return Optional.of("without a signature");
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
        return isServerError || isPromise(r)
                ? AttemptResult.Kind.FAILED
                : AttemptResult.Kind.ANSWERED;
    }

    private static boolean isSuccess(HttpResponse r) {
        return r.status().codeClass() == HttpStatusClass.SUCCESS;
    }

    /**
     * Returns whether callers take a response to mean that the request was not run, so that only a
     * router that knows may send it.
     */
    static boolean isPromise(HttpResponse r) {
        return PROMISES.contains(r.status().code());
    }

    /** Describes a response that does not belong to the request, for logs. */
    static String describeOther(HttpResponse r, ResponseHead head) {
        String ids = head.requestIds().isEmpty() ? "none" : cut(head.requestIds());
        return "status " + r.status().code() + ", request ids " + ids + ", own one required";
    }

    /** Returns the text of a value that a target has sent, with a length that fits a log line. */
    private static String cut(Object value) {
        String text = value.toString();
        return text.length() <= MAX_LOGGED ? text : text.substring(0, MAX_LOGGED);
    }
}
