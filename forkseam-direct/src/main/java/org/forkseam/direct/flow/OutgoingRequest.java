package org.forkseam.direct.flow;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpVersion;

import org.forkseam.direct.spi.ForwardingInfo;
import org.forkseam.direct.spi.HeaderCodec;

/** Makes what a target gets of a caller's request: all of it but what concerns one connection. */
final class OutgoingRequest {
    private OutgoingRequest() {}

    static FullHttpRequest of(
            HeaderCodec protocol, CallerRequest request, ForwardingInfo handover) {
        FullHttpRequest r =
                new DefaultFullHttpRequest(
                        HttpVersion.HTTP_1_1,
                        request.method(),
                        request.uri(),
                        Unpooled.wrappedBuffer(request.body()));
        r.headers().set(request.headers());
        HopByHopHeaders.remove(r.headers(), protocol::isEndToEnd);
        r.headers().remove(HttpHeaderNames.EXPECT);
        boolean told = request.headers().contains(HttpHeaderNames.CONTENT_LENGTH);
        if (request.body().length > 0 || told) {
            r.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, request.body().length);
        }
        protocol.encodeForwarding(r.headers(), handover);
        return r;
    }
}
