package org.forkseam.wire;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.ssl.ClientAuth;
import io.netty.handler.ssl.SslContext;
import io.netty.handler.ssl.SslContextBuilder;
import io.netty.util.concurrent.DefaultThreadFactory;
import io.netty.util.concurrent.GlobalEventExecutor;

import java.io.File;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import javax.net.ssl.SSLException;

/**
 * Opens and accepts {@link Link}s to other daemons.
 *
 * <p>Thread-safe between {@link #start} and {@link #stop}.
 *
 * @since 0.1
 */
public final class WireTransport {
    private static final int STOP_MILLIS = 2_000;

    private final WireSettings mSettings;
    private final LinkHandler mHandler;
    private final WireCounters mCounters = new WireCounters();
    private final ChannelGroup mChannels = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
    private EventLoopGroup mGroup;
    private Channel mListening;
    private Optional<SslContext> mServerSsl = Optional.empty();
    private Optional<SslContext> mClientSsl = Optional.empty();

    private WireTransport(WireSettings settings, LinkHandler handler) {
        mSettings = settings;
        mHandler = handler;
    }

    /** Creates a transport that reports link events to a handler. */
    public static WireTransport of(WireSettings settings, LinkHandler handler) {
        return new WireTransport(settings, handler);
    }

    // ---------------------------------------------------------------- lifecycle

    /** Starts the network thread and listens on the address, if given. */
    public void start(Optional<InetSocketAddress> listen) {
        if (mSettings.tls().isPresent()) {
            loadTls(mSettings.tls().get());
        }
        DefaultThreadFactory threads = new DefaultThreadFactory("wire", true);
        mGroup = new MultiThreadIoEventLoopGroup(1, threads, NioIoHandler.newFactory());
        listen.ifPresent(this::listen);
    }

    private void loadTls(WireSettings.Tls tls) {
        File cert = new File(tls.certificate());
        File key = new File(tls.key());
        File ca = new File(tls.authority());
        try {
            mServerSsl =
                    Optional.of(
                            SslContextBuilder.forServer(cert, key)
                                    .trustManager(ca)
                                    .clientAuth(ClientAuth.REQUIRE)
                                    .build());
            // Peers are addressed by IP; they are authenticated by CA, not by host name.
            mClientSsl =
                    Optional.of(
                            SslContextBuilder.forClient()
                                    .keyManager(cert, key)
                                    .trustManager(ca)
                                    .endpointIdentificationAlgorithm(null)
                                    .build());
        } catch (SSLException | IllegalArgumentException e) {
            throw new IllegalStateException("cannot load the TLS files of [wire]: " + tls, e);
        }
    }

    private void listen(InetSocketAddress address) {
        ServerBootstrap b =
                new ServerBootstrap()
                        .group(mGroup)
                        .channel(NioServerSocketChannel.class)
                        .option(ChannelOption.SO_REUSEADDR, true)
                        .childOption(ChannelOption.TCP_NODELAY, true)
                        .childHandler(initializer(mServerSsl, null));
        mListening = b.bind(address).syncUninterruptibly().channel();
        mChannels.add(mListening);
    }

    private LinkInitializer initializer(Optional<SslContext> ssl, CompletableFuture<Link> opened) {
        return new LinkInitializer(mSettings, mHandler, mCounters, ssl, mChannels, opened);
    }

    /** Closes all links and stops the network thread. */
    public void stop() {
        if (mGroup.isShutdown()) {
            return;
        }
        // shutdownGracefully alone leaves accepted connections open.
        mChannels.close().awaitUninterruptibly();
        mGroup.shutdownGracefully(0, STOP_MILLIS, TimeUnit.MILLISECONDS).awaitUninterruptibly();
    }

    // ---------------------------------------------------------------- public API

    /** Returns the address listened on. */
    public InetSocketAddress address() {
        return (InetSocketAddress) mListening.localAddress();
    }

    /** Returns the traffic counters. */
    public WireCounters counters() {
        return mCounters;
    }

    /** Opens a link; the future fails if the connection or the handshake fails. */
    public CompletableFuture<Link> connect(InetSocketAddress address) {
        CompletableFuture<Link> opened = new CompletableFuture<>();
        new Bootstrap()
                .group(mGroup)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, mSettings.connectMillis())
                .handler(initializer(mClientSsl, opened))
                .connect(address)
                .addListener(
                        f -> {
                            if (!f.isSuccess()) {
                                opened.completeExceptionally(f.cause());
                            }
                        });
        return opened;
    }
}
