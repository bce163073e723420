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
 * Answers the balancer's question whether the router is ready, and operators' questions for metrics
 * and for the state dump. Used on the event loop.
 *
 * @since 0.2
 */
public final class AdminService implements Service {
    /** Name of the service. */
    public static final String NAME = "admin";

    /** The metrics library is loaded so long after the start, when callers are being served. */
    private static final long REGISTRY_DELAY_MILLIS = 8_000;

    private static final int MAX_BODY_BYTES = 4096;
    private static final String METRICS_PATH = "/metrics";

    private final EventLoop mLoop;
    private final InetSocketAddress mReadiness;
    private final Optional<InetSocketAddress> mMetrics;
    private final BooleanSupplier mReady;
    private final MeterBinder mMeters;
    private final OperatorPages mPages;
    private final Optional<InetSocketAddress> mPeers;
    private final Supplier<Optional<byte[]>> mSnapshot;
    private final List<Channel> mListeners = new ArrayList<>();
    private Optional<PrometheusMeterRegistry> mRegistry = Optional.empty();
    private boolean mWasReady;

    private AdminService(EventLoop loop, ListenAddresses addresses, DataSources views) {
        mLoop = loop;
        mReadiness = addresses.readiness();
        mMetrics = addresses.metrics();
        mReady = views.ready();
        mMeters = views.meters();
        mPages = views.operatorPages();
        mPeers = addresses.peers();
        mSnapshot = views.snapshot();
    }

    /** Holds where questions are answered. */
    public record ListenAddresses(
            InetSocketAddress readiness,
            Optional<InetSocketAddress> metrics,
            Optional<InetSocketAddress> peers) {}

    /** Holds what the answers are made of. */
    public record DataSources(
            BooleanSupplier ready,
            MeterBinder meters,
            Supplier<Optional<byte[]>> snapshot,
            OperatorPages operatorPages) {}

    /** Creates the service. */
    public static AdminService of(EventLoop loop, ListenAddresses addresses, DataSources views) {
        return new AdminService(loop, addresses, views);
    }

    @Override
    public String name() {
        return NAME;
    }

    @Override
    public CompletableFuture<Void> start() {
        mLoop.schedule(this::registry, REGISTRY_DELAY_MILLIS, TimeUnit.MILLISECONDS);
        List<CompletableFuture<Void>> bound = new ArrayList<>();
        bound.add(listen(mReadiness, this::handleReadiness));
        mMetrics.ifPresent(a -> bound.add(listen(a, this::handleOperatorRequest)));
        mPeers.ifPresent(a -> bound.add(listen(a, this::handleSnapshot)));
        return CompletableFuture.allOf(bound.toArray(new CompletableFuture<?>[0]));
    }

    @Override
    public CompletableFuture<Void> stop() {
        mListeners.forEach(Channel::close);
        return CompletableFuture.completedFuture(null);
    }

    /** Answers one request by its path. */
    private interface RequestHandler {
        FullHttpResponse handle(String path);
    }

    private CompletableFuture<Void> listen(InetSocketAddress address, RequestHandler page) {
        CompletableFuture<Void> bound = new CompletableFuture<>();
        new ServerBootstrap()
                .group(mLoop)
                .channel(NioServerSocketChannel.class)
                .childHandler(
                        new ChannelInitializer<Channel>() {
                            @Override
                            protected void initChannel(Channel ch) {
                                ch.pipeline()
                                        .addLast(new HttpServerCodec())
                                        .addLast(new HttpObjectAggregator(MAX_BODY_BYTES))
                                        .addLast(handler(page));
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

    private static ChannelHandler handler(RequestHandler page) {
        return new SimpleChannelInboundHandler<FullHttpRequest>() {
            @Override
            protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest r) {
                FullHttpResponse answer = page.handle(r.uri());
                boolean keep = HttpUtil.isKeepAlive(r);
                HttpUtil.setKeepAlive(answer, keep);
                ctx.writeAndFlush(answer)
                        .addListener(
                                f -> {
                                    if (!keep) {
                                        ctx.close();
                                    }
                                });
            }

            @Override
            public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
                ctx.close(); // whoever asked has gone
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
