package org.forkseam.direct.io;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.ReferenceCountUtil;

/**
 * Keeps bytes that a server sends while no request is active from the decoder, which would hold a
 * part of a head and join it to the next response. Used on the event loop.
 */
final class ExchangeGuard extends ChannelInboundHandlerAdapter {
    private final HttpConnection mConnection;

    ExchangeGuard(HttpConnection connection) {
        mConnection = connection;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object msg) {
        if (!mConnection.isActive()) {
            mConnection.onBytesOutside(((ByteBuf) msg).readableBytes());
            ReferenceCountUtil.release(msg);
            return;
        }
        ctx.fireChannelRead(msg);
    }
}
