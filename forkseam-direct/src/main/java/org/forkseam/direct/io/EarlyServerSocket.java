package org.forkseam.direct.io;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.ServerChannelRecvByteBufAllocator;
import io.netty.channel.socket.nio.NioServerSocketChannel;

import org.forkseam.core.util.Clock;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.ServerSocketChannel;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/**
 * A listening socket that is opened before the rest of the router is loaded, so that early
 * connections queue in the backlog instead of being refused.
 *
 * @since 0.3
 */
public final class EarlyServerSocket {
    private static final int BACKLOG = 1024;

    /** Connections accepted per loop iteration: up to the whole backlog. */
    private static final int MAX_ACCEPTS_PER_READ = BACKLOG;

    private final ServerSocketChannel mSocket;
    private final long mOpenedNanos = System.nanoTime();

    private EarlyServerSocket(ServerSocketChannel socket) {
        mSocket = socket;
    }

    /**
     * Opens the socket.
     *
     * @throws IOException if the address cannot be bound
     */
    public static EarlyServerSocket open(InetSocketAddress address) throws IOException {
        ServerSocketChannel socket = ServerSocketChannel.open();
        socket.setOption(StandardSocketOptions.SO_REUSEADDR, true);
        socket.bind(address, BACKLOG);
        return new EarlyServerSocket(socket);
    }

    /** Returns the bound address. */
    public InetSocketAddress address() {
        return new InetSocketAddress(
                mSocket.socket().getInetAddress(), mSocket.socket().getLocalPort());
    }

    /** Returns the time when the socket was opened, by the given clock. */
    public long openedMillis(Clock clock) {
        long ago = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - mOpenedNanos);
        return clock.nowMillis() - ago;
    }

    /** Registers the socket with an event loop, which accepts the queued connections. */
    public CompletableFuture<Channel> serve(
            EventLoopGroup group, ChannelInitializer<Channel> connections) {
        CompletableFuture<Channel> serving = new CompletableFuture<>();
        new ServerBootstrap()
                .group(group)
                .channelFactory(() -> new NioServerSocketChannel(mSocket))
                .option(
                        ChannelOption.RCVBUF_ALLOCATOR,
                        new ServerChannelRecvByteBufAllocator()
                                .maxMessagesPerRead(MAX_ACCEPTS_PER_READ))
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.ALLOCATOR, Buffers.allocator())
                .childHandler(connections)
                .register()
                .addListener(
                        (io.netty.channel.ChannelFuture f) -> {
                            if (f.isSuccess()) {
                                serving.complete(f.channel());
                            } else {
                                serving.completeExceptionally(f.cause());
                            }
                        });
        return serving;
    }
}
