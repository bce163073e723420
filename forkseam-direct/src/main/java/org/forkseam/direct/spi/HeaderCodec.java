package org.forkseam.direct.spi;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;

/**
 * Knows by which headers callers, routers and targets speak. Implementations are stateless.
 *
 * @since 0.2
 */
public interface HeaderCodec {
    /** Decodes the head of a caller's request. */
    RequestHead decode(HttpRequest request);

    /** Decodes the head of a target's answer. */
    ResponseHead decode(HttpResponse response);

    /** Returns whether a field reaches the other end whatever a connection option says of it. */
    boolean isEndToEnd(String name);

    /** Removes every field that only routers set toward targets, then sets what this one adds. */
    void encodeForwarding(HttpHeaders headers, ForwardingInfo handover);

    /** Names the request in an answer of the router's own. */
    void setRequestId(HttpHeaders headers, String requestId);

    /** Tells the caller when to come back. */
    void setRetryAfter(HttpHeaders headers, long millis);
}
