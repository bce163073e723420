package org.forkseam.direct.flow;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpServerCodec;

import org.forkseam.core.traffic.CallerLimits;
import org.forkseam.direct.io.Buffers;

import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;

/** Listens for callers. Used on the event loop. */
final class CallerServer {
    private static final int BACKLOG = 1024;

    private final EventLoopGroup mGroup;
    private final RouterContext mContext;
    private Channel mListener;

    CallerServer(EventLoopGroup group, RouterContext context) {
        mGroup = group;
        mContext = context;
    }

    CompletableFuture<InetSocketAddress> listen(InetSocketAddress address) {
        CompletableFuture<InetSocketAddress> bound = new CompletableFuture<>();
        new ServerBootstrap()
                .group(mGroup)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.ALLOCATOR, Buffers.allocator())
                .childHandler(
                        new ChannelInitializer<Channel>() {
                            @Override
                            protected void initChannel(Channel ch) {
                                accept(ch);
                            }
                        })
                .bind(address)
                .addListener(
                        (io.netty.channel.ChannelFuture f) -> {
                            if (!f.isSuccess()) {
                                bound.completeExceptionally(f.cause());
                                return;
                            }
                            mListener = f.channel();
                            bound.complete((InetSocketAddress) f.channel().localAddress());
                        });
        return bound;
    }

    private void accept(Channel ch) {
        CallerLimits limits = mContext.knowledge().config().limits();
        CallerConnection connection = new CallerConnection(mContext);
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
                .addLast(new HttpObjectAggregator(limits.bodyBytes()))
                .addLast(connection);
    }

    /** Takes no further connection. */
    void stopListening() {
        if (mListener != null) {
            mListener.close();
        }
    }
}
