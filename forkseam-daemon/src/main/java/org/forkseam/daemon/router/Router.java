package org.forkseam.daemon.router;

import io.activej.eventloop.Eventloop;
import io.activej.http.HttpException;
import io.activej.http.HttpMethod;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.http.HttpServer;
import io.activej.net.socket.tcp.TcpSocket;
import io.activej.promise.Promise;
import io.micrometer.core.instrument.MeterRegistry;

import org.forkseam.core.kernel.Service;
import org.forkseam.core.outcome.AttemptFailure;
import org.forkseam.core.outcome.RefusalReason;
import org.forkseam.core.route.BaselinePlacements;
import org.forkseam.core.route.CacheAwarePlacement;
import org.forkseam.core.route.Placement;
import org.forkseam.core.route.PrefixDirectory;
import org.forkseam.core.util.Clock;
import org.forkseam.core.util.DecisionLog;
import org.forkseam.daemon.net.LinkManager;
import org.forkseam.daemon.share.Fleet;
import org.forkseam.daemon.share.FleetSync;
import org.forkseam.daemon.share.Ticker;
import org.forkseam.daemon.sidecar.ClaimStore;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.random.RandomGenerator;

/**
 * Accepts callers' HTTP requests and forwards them to targets. Keeps no persistent state. Not
 * thread-safe: state is confined to the event loop.
 *
 * @since 0.1
 */
public final class Router implements Service {
    /** Service name. */
    public static final String NAME = "router";

    private static final Logger LOG = LoggerFactory.getLogger(Router.class);
    private static final String MODELS_PATH = "/v1/models";
    private static final long TICK_MILLIS = 250;
    private static final int SERVICE_UNAVAILABLE = 503;
    private static final int NOT_FOUND = 404;
    private static final int METHOD_NOT_ALLOWED = 405;
    private static final int PAYLOAD_TOO_LARGE = 413;

    private final Eventloop mLoop;
    private final Config mConfig;
    private final Fleet mFleet;
    private final LinkManager mLinks;
    private final FleetSync mSync;
    private final AttemptRegistry mAttempts;
    private final RouterContext mContext;
    private final RouterCounters mCounters;
    private final CallerDisconnectDetector mDisconnects = new CallerDisconnectDetector();
    private final Ticker mTicker;
    private HttpServer mServer;
    private boolean mDraining;
    private CompletableFuture<Void> mDrained;

    /**
     * Configuration of a router.
     *
     * @param host name of the host it runs on
     * @param incarnation number of this process incarnation
     * @param listen address to listen on for callers
     * @param maxBodyBytes maximum size of a request body
     * @param requestTimeout read and write timeout of caller connections
     * @param ticketKey secret key for signing chat tickets
     * @param placement name of the placement policy
     */
    public record Config(
            String host,
            long incarnation,
            InetSocketAddress listen,
            int maxBodyBytes,
            Duration requestTimeout,
            String ticketKey,
            String placement) {}

    /** Services that a router depends on. */
    public record Dependencies(
            Fleet fleet,
            FleetSync sync,
            LinkManager links,
            ClaimStore claims,
            MeterRegistry registry) {}

    private Router(
            Eventloop loop,
            Clock clock,
            Config config,
            Dependencies dependencies,
            RandomGenerator random) {
        mLoop = loop;
        mConfig = config;
        mFleet = dependencies.fleet();
        mLinks = dependencies.links();
        mSync = dependencies.sync();
        mAttempts = new AttemptRegistry(loop, clock, mFleet, mSync, mLinks);
        mCounters = new RouterCounters(dependencies.registry());
        PrefixDirectory prefixes = PrefixDirectory.of(PrefixDirectory.DEFAULT_SIZE);
        mContext =
                new RouterContext(
                        new RouterContext.Identity(
                                config.host(),
                                config.incarnation(),
                                config.ticketKey().getBytes(StandardCharsets.UTF_8)),
                        new RouterContext.Environment(clock, random),
                        mFleet,
                        mAttempts,
                        new RouterContext.PlacementState(
                                placement(config.placement(), prefixes, random), prefixes),
                        new RouterContext.RequestChecks(
                                new ClaimLookup(dependencies.claims()),
                                new QuotaLimiter(mFleet, mSync, mLinks)),
                        mCounters);
        mTicker = Ticker.of(loop, () -> TICK_MILLIS, this::tick);
    }

    /** Creates a router. */
    public static Router of(
            Eventloop loop,
            Clock clock,
            Config config,
            Dependencies dependencies,
            RandomGenerator random) {
        return new Router(loop, clock, config, dependencies, random);
    }

    private static Placement placement(
            String name, PrefixDirectory prefixes, RandomGenerator random) {
        return switch (name) {
            case "std" -> CacheAwarePlacement.of(prefixes, random);
            case "random" -> BaselinePlacements.random(random);
            case "round-robin" -> BaselinePlacements.roundRobin();
            case "two-choices" -> BaselinePlacements.twoChoices(random);
            case "consistent-hash" -> BaselinePlacements.consistentHash();
            default -> throw new IllegalArgumentException("unknown placement: " + name);
        };
    }

    // ---------------------------------------------------------------- life-cycle

    @Override
    public String name() {
        return NAME;
    }

    @Override
    public List<String> dependencies() {
        return List.of(LinkManager.NAME, FleetSync.NAME);
    }

    @Override
    public CompletableFuture<Void> start() {
        mTicker.start();
        return mLoop.submit(
                () -> {
                    mLinks.addListener(mAttempts);
                    mLinks.addListener(mContext.quotas());
                    mSync.setDecisionLog(mContext.decisions());
                    mServer =
                            HttpServer.builder(mLoop, this::serve)
                                    .withListenAddress(mConfig.listen())
                                    .withMaxBodySize(mConfig.maxBodyBytes())
                                    .withReadWriteTimeout(mConfig.requestTimeout())
                                    .withSocketInspector(mDisconnects)
                                    .withHttpErrorFormatter(this::formatError)
                                    .build();
                    listen();
                });
    }

    private void listen() throws IOException {
        mServer.listen();
        LOG.info("event=callers-listen address={}", address());
    }

    /** Fails the readiness check and completes once all in-flight requests have ended. */
    @Override
    public CompletableFuture<Void> stop() {
        CompletableFuture<Void> drained = new CompletableFuture<>();
        mLoop.execute(
                () -> {
                    mDraining = true;
                    mDrained = drained;
                    LOG.info("event=router-leaving in_flight={}", mContext.flows().size());
                    checkDrained();
                });
        return drained.thenCompose(v -> closeServer());
    }

    private CompletableFuture<Void> closeServer() {
        mTicker.stop();
        CompletableFuture<Void> closed = new CompletableFuture<>();
        mLoop.execute(() -> mServer.close().whenComplete((v, e) -> closed.complete(null)));
        return closed;
    }

    private void checkDrained() {
        if (mDrained != null && mContext.flows().size() == 0) {
            mDrained.complete(null);
        }
    }

    private void tick() {
        mAttempts.closeSilentLinks();
        mContext.quotas().tick(mContext.clock().nowMillis());
        List.copyOf(mContext.flows()).stream()
                .filter(f -> mDisconnects.isDisconnected(f.socket()))
                .forEach(RequestFlow::abortDisconnected);
        checkDrained();
    }

    @Override
    public Object dump() {
        Map<String, Object> m = new LinkedHashMap<>();
        m.put("in_flight", mContext.flows().size());
        m.put("attempts_open", mAttempts.openCount());
        m.put("leaving", mDraining);
        m.put("requests", mCounters.requests());
        m.put("retry_budget", mContext.budget().tokens());
        m.put("decisions", mContext.decisions().latest(50));
        return m;
    }

    // ---------------------------------------------------------------- public API

    /** Returns the address bound for callers. */
    public InetSocketAddress address() {
        return mServer.getBoundAddresses().get(0);
    }

    /** Returns whether the load balancer should send traffic to this router. */
    public boolean isReady() {
        return !mDraining && mFleet.config().version() > 0 && !mFleet.view().targets().isEmpty();
    }

    /** Returns the log of routing decisions. */
    public DecisionLog decisions() {
        return mContext.decisions();
    }

    // ---------------------------------------------------------------- callers

    private Promise<HttpResponse> serve(HttpRequest http) {
        String path = http.getPath();
        if (path.equals("/healthz")) {
            return HttpResponse.ok200().withPlainText("ok\n").toPromise();
        }
        if (path.equals("/readyz")) {
            return readiness().toPromise();
        }
        if (path.equals(MODELS_PATH)) {
            return Responses.models(mFleet.view()).toPromise();
        }
        boolean chat = path.equals(RequestReader.CHAT_PATH);
        if (!chat && !path.startsWith(RequestReader.SERVICES_PATH)) {
            String allowed =
                    RequestReader.CHAT_PATH + ", " + RequestReader.SERVICES_PATH + "NAME/...";
            return reject(NOT_FOUND, "not_found", "path " + path + "; allowed: " + allowed);
        }
        if (chat && http.getMethod() != HttpMethod.POST) {
            return reject(METHOD_NOT_ALLOWED, "method", http.getMethod() + "; allowed: POST");
        }
        TcpSocket socket = mDisconnects.socketOf(http);
        return http.loadBody(mConfig.maxBodyBytes())
                .then(body -> accept(http, chat, body.getArray(), socket), e -> rejectTooLarge());
    }

    private HttpResponse.Builder readiness() {
        return isReady()
                ? HttpResponse.ok200().withPlainText("ready\n")
                : HttpResponse.ofCode(SERVICE_UNAVAILABLE).withPlainText("not ready\n");
    }

    private Promise<HttpResponse> accept(
            HttpRequest http, boolean chat, byte[] body, TcpSocket socket) {
        try {
            CallerRequest r =
                    chat ? RequestReader.chat(http, body) : RequestReader.service(http, body);
            return new RequestFlow(mContext, r, socket).start();
        } catch (BadRequestException e) {
            return reject(e.status(), "bad_request", e.getMessage());
        }
    }

    private Promise<HttpResponse> rejectTooLarge() {
        String message = "body over " + mConfig.maxBodyBytes() + " bytes, or cut short";
        return reject(PAYLOAD_TOO_LARGE, "too_large", message);
    }

    private Promise<HttpResponse> reject(int status, String code, String message) {
        mCounters.onMalformed();
        return Responses.error(status, code, message)
                .withHeader(CallerHeaders.OUTCOME, "not-run")
                .toPromise();
    }

    /** Maps exceptions of the HTTP server to responses without exposing stack traces. */
    private Promise<HttpResponse> formatError(Exception e) {
        mCounters.onMalformed();
        AttemptFailure r = AttemptFailure.failed(RefusalReason.BROKEN_ANSWER, "internal error");
        if (e instanceof IOException) {
            return Responses.failure(r).toPromise(); // the connection is already closed
        }
        if (e instanceof HttpException) {
            return Responses.error(400, "bad_request", "malformed HTTP request").toPromise();
        }
        LOG.error("event=request-failed", e);
        return Responses.failure(r).toPromise();
    }
}
