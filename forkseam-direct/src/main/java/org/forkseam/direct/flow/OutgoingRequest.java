package org.forkseam.direct.flow;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpVersion;

import org.forkseam.direct.spi.ForwardingInfo;
import org.forkseam.direct.spi.HeaderCodec;

/**
 * Builds the request sent to a target from a caller's request, without hop-by-hop headers.
 * Stateless.
 */
final class OutgoingRequest {
    private OutgoingRequest() {}

    static FullHttpRequest of(HeaderCodec codec, CallerRequest request, ForwardingInfo forwarding) {
        FullHttpRequest r =
                new DefaultFullHttpRequest(
                        HttpVersion.HTTP_1_1,
                        request.method(),
                        request.uri(),
                        Unpooled.wrappedBuffer(request.body()));
        r.headers().set(request.headers());
        HopByHopHeaders.remove(r.headers(), codec::isEndToEnd);
        r.headers().remove(HttpHeaderNames.EXPECT);
        boolean hasLength = request.headers().contains(HttpHeaderNames.CONTENT_LENGTH);
        if (request.body().length > 0 || hasLength) {
            r.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, request.body().length);
        }
        codec.encodeForwarding(r.headers(), forwarding);
        return r;
    }
}
