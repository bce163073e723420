package org.forkseam.direct.spi;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;

/**
 * Knows by which headers callers, routers and targets speak. Implementations are stateless.
 *
 * @since 0.2
 */
public interface CallerProtocol {
    /** Decodes the head of a caller's request. */
    CallerHead decode(HttpRequest request);

    /** Decodes the head of a target's answer. */
    AnswerHead decode(HttpResponse response);

    /** Returns whether a field reaches the other end whatever a connection option says of it. */
    boolean isEndToEnd(String name);

    /** Removes every field that only routers set toward targets, then sets what this one adds. */
    void handOver(HttpHeaders headers, Handover handover);

    /** Names the request in an answer of the router's own. */
    void nameRequest(HttpHeaders headers, String requestId);

    /** Tells the caller when to come back. */
    void retryAfter(HttpHeaders headers, long millis);
}
