package org.forkseam.direct.io;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;

import java.util.List;

/**
 * Decodes the responses on a connection. Used on the event loop.
 *
 * <p>Whether a response has a body depends on its request, which the connection tells. Netty's
 * client codec pairs responses with requests in order, so that a surplus response would shift all
 * that follow. Bytes behind the end of a response are not decoded.
 */
final class ResponseDecoder extends HttpResponseDecoder {
    private final HttpConnection mConnection;

    ResponseDecoder(HttpDecoderConfig config, HttpConnection connection) {
        super(config);
        mConnection = connection;
    }

    /** Returns the number of bytes that were received and not decoded. */
    int undecodedBytes() {
        return actualReadableBytes();
    }

    @Override
    protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out)
            throws Exception {
        if (!mConnection.isActive()) {
            in.skipBytes(in.readableBytes());
            return;
        }
        super.decode(ctx, in, out);
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage m) {
        boolean mayHaveBody = mConnection.mayHaveBody((HttpResponse) m);
        return super.isContentAlwaysEmpty(m) || !mayHaveBody;
    }
}
