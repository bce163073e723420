package org.forkseam.direct.flow;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpServerCodec;

import org.forkseam.core.traffic.CallerLimits;
import org.forkseam.direct.io.EarlyServerSocket;

import java.util.concurrent.CompletableFuture;

/** Accepts connections from callers. Used on the event loop. */
final class CallerServer {
    private final EventLoopGroup mGroup;
    private final RouterContext mContext;
    private Channel mListener;

    CallerServer(EventLoopGroup group, RouterContext context) {
        mGroup = group;
        mContext = context;
    }

    CompletableFuture<Void> serve(EarlyServerSocket listener) {
        ChannelInitializer<Channel> connections =
                new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel ch) {
                        accept(ch);
                    }
                };
        return listener.serve(mGroup, connections).thenAccept(c -> mListener = c);
    }

    private void accept(Channel ch) {
        CallerLimits limits = mContext.fleetState().config().limits();
        CallerConnection connection =
                new CallerConnection(mContext, mContext.arrivalTracker().next());
        HttpDecoderConfig config =
                new HttpDecoderConfig()
                        .setMaxInitialLineLength(limits.headerBytes())
                        .setMaxHeaderSize(limits.headerBytes());
        ch.pipeline()
                .addLast(
                        new ChannelInboundHandlerAdapter() {
                            @Override
                            public void channelRead(ChannelHandlerContext ctx, Object msg) {
                                connection.onBytes();
                                ctx.fireChannelRead(msg);
                            }
                        })
                .addLast(new HttpServerCodec(config))
                .addLast(new BodyReader(mContext, connection, limits.bodyBytes()))
                .addLast(new RequestAggregator(connection, limits.bodyBytes()))
                .addLast(connection);
    }

    /** Closes the listening socket; open connections are kept. */
    void closeListener() {
        if (mListener != null) {
            mListener.close();
        }
    }
}
