package org.forkseam.direct.io;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFactory;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpRequestEncoder;

import java.net.ConnectException;
import java.nio.channels.ClosedChannelException;
import java.util.concurrent.Future;

/**
 * Opens connections to HTTP servers by IP address. Used on the event loop.
 *
 * @since 0.2
 */
public final class Connector {
    /** Connect timeout; hosts are a few milliseconds apart. */
    public static final int CONNECT_TIMEOUT_MILLIS = 300;

    /** Disables Netty's timeout, which does not wait for unread input. */
    private static final int NO_TIMEOUT = 0;

    private static final int MAX_HEADER_BYTES = 32_768;

    private final EventLoop mLoop;
    private final Bootstrap mBootstrap;
    private final int mConnectTimeoutMillis;
    private final SurplusCounts mSurplus = SurplusCounts.create();
    private long mOpenedCount;
    private int mMaxOpen = Integer.MAX_VALUE;
    private int mOpenCount;

    private Connector(
            EventLoop loop, int connectTimeoutMillis, ChannelFactory<? extends Channel> channels) {
        mLoop = loop;
        mConnectTimeoutMillis = connectTimeoutMillis;
        mBootstrap =
                new Bootstrap()
                        .group(loop)
                        .channelFactory(channels)
                        .option(ChannelOption.TCP_NODELAY, true)
                        .option(ChannelOption.ALLOCATOR, Buffers.allocator())
                        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, NO_TIMEOUT);
    }

    /** Creates a connector. */
    public static Connector of(EventLoop loop) {
        return of(loop, CONNECT_TIMEOUT_MILLIS);
    }

    /** Creates a connector with another connect timeout. */
    public static Connector of(EventLoop loop, int connectTimeoutMillis) {
        return new Connector(loop, connectTimeoutMillis, NioSocketChannel::new);
    }

    /** Creates a connector that creates channels by a factory. */
    static Connector of(EventLoop loop, ChannelFactory<? extends Channel> channels) {
        return new Connector(loop, CONNECT_TIMEOUT_MILLIS, channels);
    }

    /** Returns this connector with a limit on the connections that are open or being opened. */
    public Connector withMaxOpen(int maxOpen) {
        mMaxOpen = maxOpen;
        return this;
    }

    /** Returns the number of connections opened since the start. */
    public long openedCount() {
        return mOpenedCount;
    }

    /** Returns what servers have sent beyond the responses that were due. */
    public SurplusCounts surplus() {
        return mSurplus;
    }

    void connect(String address, HttpConnection c, ConnectionCallback callback, Runnable onFailed) {
        if (mOpenCount >= mMaxOpen) {
            failLater(callback, onFailed, mOpenCount + " connections open, limit reached");
            return;
        }
        Bootstrap b = mBootstrap.clone();
        b.handler(
                new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel ch) {
                        addHandlers(ch.pipeline(), c);
                    }
                });
        ChannelFuture connecting = b.connect(Addresses.parse(address));
        if (connecting.isDone() && !connecting.channel().isRegistered()) {
            // Such a channel has no event loop, and its listeners would run on another thread.
            failLater(callback, onFailed, detailOf(connecting.cause()));
            return;
        }
        mOpenCount++;
        connecting.channel().closeFuture().addListener(f -> mOpenCount--);
        Future<?> timeout =
                ReadBarrier.of(mLoop).schedule(mConnectTimeoutMillis, () -> abort(connecting));
        connecting.addListener(
                f -> {
                    timeout.cancel(false);
                    if (f.isSuccess()) {
                        mOpenedCount++;
                        callback.onConnection(c);
                    } else {
                        onFailed.run();
                        callback.onConnectionFailed(failureOf(f.cause()), detailOf(f.cause()));
                    }
                });
    }

    private void failLater(ConnectionCallback callback, Runnable onFailed, String detail) {
        mLoop.execute(
                () -> {
                    onFailed.run();
                    callback.onConnectionFailed(ExchangeFailure.NO_SOCKET, detail);
                });
    }

    /** Fails a connection attempt that has not completed. */
    private static void abort(ChannelFuture connecting) {
        if (!connecting.isDone()) {
            connecting.channel().close();
        }
    }

    private static ExchangeFailure failureOf(Throwable cause) {
        return cause instanceof ConnectException
                ? ExchangeFailure.NOBODY_LISTENS
                : ExchangeFailure.UNREACHABLE;
    }

    private String detailOf(Throwable cause) {
        return cause instanceof ClosedChannelException
                ? "not established within " + mConnectTimeoutMillis + " ms"
                : String.valueOf(cause);
    }

    /** Adds the handlers of a connection. */
    static void addHandlers(ChannelPipeline pipeline, HttpConnection c) {
        HttpDecoderConfig config = new HttpDecoderConfig().setMaxHeaderSize(MAX_HEADER_BYTES);
        ResponseDecoder decoder = new ResponseDecoder(config, c);
        c.setDecoder(decoder);
        pipeline.addLast(new ExchangeGuard(c), decoder, new HttpRequestEncoder(), c);
    }
}
