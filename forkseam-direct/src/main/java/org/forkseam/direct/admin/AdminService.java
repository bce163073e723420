package org.forkseam.direct.admin;

import io.micrometer.core.instrument.binder.MeterBinder;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.timeout.ReadTimeoutHandler;

import org.forkseam.core.kernel.Service;
import org.forkseam.direct.log.Event;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

/**
 * Serves readiness checks, metrics, operator pages and state snapshots for other routers over HTTP.
 * Used on the event loop.
 *
 * @since 0.2
 */
public final class AdminService implements Service {
    /** Service name. */
    public static final String NAME = "admin";

    /** Delay before the metrics registry is loaded, so that it does not slow down the start. */
    private static final long REGISTRY_DELAY_MILLIS = 8_000;

    private static final int MAX_BODY_BYTES = 4096;

    /** Open connections to each address; further ones are closed. */
    private static final int MAX_CONNECTIONS = 512;

    /** Connections without a request or progress for this long are closed. */
    private static final int MAX_IDLE_SECONDS = 60;

    private static final String METRICS_PATH = "/metrics";

    private final EventLoop mLoop;
    private final InetSocketAddress mReadinessAddress;
    private final Optional<InetSocketAddress> mMetricsAddress;
    private final BooleanSupplier mReady;
    private final MeterBinder mMeters;
    private final OperatorPages mPages;
    private final Optional<InetSocketAddress> mSnapshotAddress;
    private final Supplier<Optional<byte[]>> mSnapshot;
    private final List<Channel> mListeners = new ArrayList<>();
    private Optional<PrometheusMeterRegistry> mRegistry = Optional.empty();
    private boolean mWasReady;

    private AdminService(EventLoop loop, ListenAddresses addresses, DataSources sources) {
        mLoop = loop;
        mReadinessAddress = addresses.readiness();
        mMetricsAddress = addresses.metrics();
        mReady = sources.ready();
        mMeters = sources.meters();
        mPages = sources.operatorPages();
        mSnapshotAddress = addresses.snapshot();
        mSnapshot = sources.snapshot();
    }

    /** Listen addresses of the HTTP endpoints. Immutable. */
    public record ListenAddresses(
            InetSocketAddress readiness,
            Optional<InetSocketAddress> metrics,
            Optional<InetSocketAddress> snapshot) {}

    /** Sources of the data to serve. Immutable. */
    public record DataSources(
            BooleanSupplier ready,
            MeterBinder meters,
            Supplier<Optional<byte[]>> snapshot,
            OperatorPages operatorPages) {}

    /** Creates the service. */
    public static AdminService of(EventLoop loop, ListenAddresses addresses, DataSources sources) {
        return new AdminService(loop, addresses, sources);
    }

    @Override
    public String name() {
        return NAME;
    }

    @Override
    public CompletableFuture<Void> start() {
        mLoop.schedule(this::registry, REGISTRY_DELAY_MILLIS, TimeUnit.MILLISECONDS);
        List<CompletableFuture<Void>> bound = new ArrayList<>();
        bound.add(listen(mReadinessAddress, this::handleReadiness));
        mMetricsAddress.ifPresent(a -> bound.add(listen(a, this::handleOperatorRequest)));
        mSnapshotAddress.ifPresent(a -> bound.add(listen(a, this::handleSnapshot)));
        return CompletableFuture.allOf(bound.toArray(new CompletableFuture<?>[0]));
    }

    @Override
    public CompletableFuture<Void> stop() {
        mListeners.forEach(Channel::close);
        return CompletableFuture.completedFuture(null);
    }

    /** Handles a request by its path. */
    private interface RequestHandler {
        FullHttpResponse handle(String path);
    }

    private CompletableFuture<Void> listen(
            InetSocketAddress address, RequestHandler requestHandler) {
        CompletableFuture<Void> bound = new CompletableFuture<>();
        ChannelGroup open = new DefaultChannelGroup(mLoop);
        new ServerBootstrap()
                .group(mLoop)
                .channel(NioServerSocketChannel.class)
                .childHandler(
                        new ChannelInitializer<Channel>() {
                            @Override
                            protected void initChannel(Channel ch) {
                                if (open.size() >= MAX_CONNECTIONS) {
                                    ch.close();
                                    return;
                                }
                                open.add(ch);
                                ch.pipeline()
                                        .addLast(new ReadTimeoutHandler(MAX_IDLE_SECONDS))
                                        .addLast(new HttpServerCodec())
                                        .addLast(new HttpObjectAggregator(MAX_BODY_BYTES))
                                        .addLast(handler(requestHandler));
                            }
                        })
                .bind(address)
                .addListener(
                        (io.netty.channel.ChannelFuture f) -> {
                            if (f.isSuccess()) {
                                mListeners.add(f.channel());
                                bound.complete(null);
                            } else {
                                bound.completeExceptionally(f.cause());
                            }
                        });
        return bound;
    }

    private static ChannelHandler handler(RequestHandler requestHandler) {
        return new SimpleChannelInboundHandler<FullHttpRequest>() {
            @Override
            protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest r) {
                // Responses do not pile up for a client that does not read them.
                ctx.channel().config().setAutoRead(false);
                FullHttpResponse response = requestHandler.handle(r.uri());
                boolean keep = HttpUtil.isKeepAlive(r);
                HttpUtil.setKeepAlive(response, keep);
                ctx.writeAndFlush(response)
                        .addListener(
                                f -> {
                                    ctx.channel().config().setAutoRead(true);
                                    if (!keep) {
                                        ctx.close();
                                    }
                                });
            }

            @Override
            public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
                ctx.close(); // connection reset by the client
            }
        };
    }

    private FullHttpResponse handleReadiness(String path) {
        boolean ready = mReady.getAsBoolean();
        if (ready != mWasReady) {
            mWasReady = ready;
            Event.always("readiness").with("ready", ready).log();
        }
        return ready
                ? text(HttpResponseStatus.OK, "ready\n", "text/plain")
                : text(HttpResponseStatus.SERVICE_UNAVAILABLE, "not ready\n", "text/plain");
    }

    private FullHttpResponse handleSnapshot(String path) {
        return mSnapshot
                .get()
                .map(b -> bytes(HttpResponseStatus.OK, b, "application/json"))
                .orElseGet(
                        () ->
                                text(
                                        HttpResponseStatus.SERVICE_UNAVAILABLE,
                                        "knows nothing\n",
                                        "text/plain"));
    }

    private FullHttpResponse handleOperatorRequest(String path) {
        if (path.startsWith(METRICS_PATH)) {
            return text(HttpResponseStatus.OK, registry().scrape(), "text/plain; version=0.0.4");
        }
        return mPages.json(path)
                .map(b -> bytes(HttpResponseStatus.OK, b, "application/json"))
                .orElseGet(
                        () ->
                                text(
                                        HttpResponseStatus.NOT_FOUND,
                                        path + "; allowed: /metrics, " + OperatorPages.PATHS + "\n",
                                        "text/plain"));
    }

    private PrometheusMeterRegistry registry() {
        if (mRegistry.isEmpty()) {
            PrometheusMeterRegistry r = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
            mMeters.bindTo(r);
            mRegistry = Optional.of(r);
        }
        return mRegistry.get();
    }

    private static FullHttpResponse text(HttpResponseStatus status, String text, String type) {
        return bytes(status, text.getBytes(StandardCharsets.UTF_8), type);
    }

    private static FullHttpResponse bytes(HttpResponseStatus status, byte[] bytes, String type) {
        FullHttpResponse r =
                new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1, status, Unpooled.wrappedBuffer(bytes));
        r.headers().set(HttpHeaderNames.CONTENT_TYPE, type);
        r.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, r.content().readableBytes());
        return r;
    }
}
