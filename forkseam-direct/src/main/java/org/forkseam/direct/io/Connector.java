package org.forkseam.direct.io;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ConnectTimeoutException;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpDecoderConfig;

import java.net.ConnectException;

/**
 * Opens connections to HTTP servers by IP address. Used on the event loop.
 *
 * @since 0.2
 */
public final class Connector {
    /** Connect timeout; hosts are a few milliseconds apart. */
    public static final int CONNECT_TIMEOUT_MILLIS = 300;

    private static final int MAX_HEADER_BYTES = 32_768;

    private final Bootstrap mBootstrap;
    private long mOpenedCount;

    private Connector(EventLoopGroup group) {
        mBootstrap =
                new Bootstrap()
                        .group(group)
                        .channel(NioSocketChannel.class)
                        .option(ChannelOption.TCP_NODELAY, true)
                        .option(ChannelOption.ALLOCATOR, Buffers.allocator())
                        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS);
    }

    /** Creates a connector. */
    public static Connector of(EventLoopGroup group) {
        return new Connector(group);
    }

    /** Returns the number of connections opened since the start. */
    public long openedCount() {
        return mOpenedCount;
    }

    void connect(String address, HttpConnection c, ConnectionCallback callback, Runnable onFailed) {
        Bootstrap b = mBootstrap.clone();
        b.handler(
                new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel ch) {
                        ch.pipeline().addLast(codec(), c);
                    }
                });
        b.connect(Addresses.parse(address))
                .addListener(
                        f -> {
                            if (f.isSuccess()) {
                                mOpenedCount++;
                                callback.onConnection(c);
                            } else {
                                onFailed.run();
                                callback.onConnectionFailed(
                                        failureOf(f.cause()), String.valueOf(f.cause()));
                            }
                        });
    }

    private static ExchangeFailure failureOf(Throwable cause) {
        boolean refused =
                cause instanceof ConnectException && !(cause instanceof ConnectTimeoutException);
        return refused ? ExchangeFailure.NOBODY_LISTENS : ExchangeFailure.UNREACHABLE;
    }

    private static HttpClientCodec codec() {
        HttpDecoderConfig config = new HttpDecoderConfig().setMaxHeaderSize(MAX_HEADER_BYTES);
        return new HttpClientCodec(config, false, false);
    }
}
