package org.forkseam.direct.flow;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;

import org.forkseam.core.outcome.RetryAfter;
import org.forkseam.direct.spi.HeaderCodec;

import java.nio.charset.StandardCharsets;
import java.util.random.RandomGenerator;

/** Builds answers: the router's own, and targets' answers as callers are to see them. */
final class ResponseFactory {
    private final HeaderCodec mProtocol;
    private final RandomGenerator mRandom;

    ResponseFactory(HeaderCodec protocol, RandomGenerator random) {
        mProtocol = protocol;
        mRandom = random;
    }

    /** Builds an answer of the router's own. */
    FullHttpResponse local(String requestId, HttpResponseStatus status, String why) {
        ByteBuf body = Unpooled.copiedBuffer(why + "\n", StandardCharsets.UTF_8);
        FullHttpResponse r = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, body);
        r.headers().set(HttpHeaderNames.CONTENT_TYPE, "text/plain");
        r.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
        if (!requestId.isEmpty()) {
            mProtocol.setRequestId(r.headers(), requestId);
        }
        return r;
    }

    /**
     * Builds the answer to a request that has not run and never will.
     *
     * @param backInMillis when it is worth coming back, about
     */
    FullHttpResponse unavailable(String requestId, String why, long backInMillis) {
        return serviceUnavailable(requestId, why, RetryAfter.spread(backInMillis, mRandom));
    }

    /**
     * Builds the answer to a request that no target gets for a while.
     *
     * @param backInMillis before which it is in vain to come back
     */
    FullHttpResponse unavailableUntil(String requestId, String why, long backInMillis) {
        return serviceUnavailable(requestId, why, RetryAfter.notBefore(backInMillis, mRandom));
    }

    private FullHttpResponse serviceUnavailable(
            String requestId, String why, long retryAfterMillis) {
        FullHttpResponse r = local(requestId, HttpResponseStatus.SERVICE_UNAVAILABLE, why);
        mProtocol.setRetryAfter(r.headers(), retryAfterMillis);
        return r;
    }

    /** Builds a target's whole answer, byte for byte. */
    FullHttpResponse full(HttpResponse head, ByteBuf body, boolean bodiless) {
        FullHttpResponse r = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, head.status(), body);
        copyHeaders(head, r.headers());
        if (!bodiless) {
            r.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
        }
        return r;
    }

    /** Builds the head of a target's stream. */
    HttpResponse streamHead(HttpResponse head) {
        HttpResponse r = new DefaultHttpResponse(HttpVersion.HTTP_1_1, head.status());
        copyHeaders(head, r.headers());
        r.headers().remove(HttpHeaderNames.CONTENT_LENGTH);
        HttpUtil.setTransferEncodingChunked(r, true);
        return r;
    }

    private void copyHeaders(HttpResponse from, HttpHeaders to) {
        to.set(from.headers());
        HopByHopHeaders.remove(to, mProtocol::isEndToEnd);
    }
}
