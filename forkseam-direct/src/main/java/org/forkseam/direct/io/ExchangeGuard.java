package org.forkseam.direct.io;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;

/**
 * Reports bytes that a server sends while no request is active. Stands before the decoder, which
 * tells nothing of a part of a head. Used on the event loop.
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
        }
        ctx.fireChannelRead(msg);
    }
}
