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
 * Takes callers' requests in over HTTP and carries them to targets. All state is on the event loop,
 * and none of it needs to last.
 *
 * @since 0.1
 */
public final class Router implements Service {
    /** Name of the service. */
    public static final String NAME = "router";

    private static final Logger LOG = LoggerFactory.getLogger(Router.class);
    private static final String MODELS_PATH = "/v1/models";
    private static final long TICK_MILLIS = 250;
    private static final int SERVICE_UNAVAILABLE = 503;
    private static final int NOT_FOUND = 404;
    private static final int NOT_ALLOWED = 405;
    private static final int TOO_LARGE = 413;

    private final Eventloop mLoop;
    private final Config mConfig;
    private final Fleet mFleet;
    private final LinkManager mLinks;
    private final FleetSync mSync;
    private final Attempts mAttempts;
    private final RouterContext mContext;
    private final RouterCounters mCounters;
    private final CallerSockets mSockets = new CallerSockets();
    private final Ticker mTicker;
    private HttpServer mServer;
    private boolean mLeaving;
    private CompletableFuture<Void> mDrained;

    /**
     * Holds what a router is told about itself.
     *
     * @param host name of its host
     * @param incarnation of this process
     * @param listen where callers connect
     * @param maxBodyBytes greatest request body
     * @param requestTime for a caller to send its request whole
     * @param ticketKey signs chat tickets
     * @param placement name of the placement
     */
    public record Config(
            String host,
            long incarnation,
            InetSocketAddress listen,
            int maxBodyBytes,
            Duration requestTime,
            String ticketKey,
            String placement) {}

    /** Holds the services a router works with. */
    public record Parts(
            Fleet fleet,
            FleetSync sync,
            LinkManager links,
            ClaimStore claims,
            MeterRegistry registry) {}

    private Router(
            Eventloop loop, Clock clock, Config config, Parts parts, RandomGenerator random) {
        mLoop = loop;
        mConfig = config;
        mFleet = parts.fleet();
        mLinks = parts.links();
        mSync = parts.sync();
        mAttempts = new Attempts(loop, clock, mFleet, mSync, mLinks);
        mCounters = new RouterCounters(parts.registry());
        PrefixDirectory prefixes = PrefixDirectory.of(PrefixDirectory.DEFAULT_SIZE);
        mContext =
                new RouterContext(
                        new RouterContext.Identity(
                                config.host(),
                                config.incarnation(),
                                config.ticketKey().getBytes(StandardCharsets.UTF_8)),
                        new RouterContext.Chance(clock, random),
                        mFleet,
                        mAttempts,
                        new RouterContext.Placing(
                                placement(config.placement(), prefixes, random), prefixes),
                        new RouterContext.Guards(
                                new ClaimLookup(parts.claims()),
                                new QuotaGate(mFleet, mSync, mLinks)),
                        mCounters);
        mTicker = Ticker.of(loop, () -> TICK_MILLIS, this::tick);
    }

    /** Creates a router. */
    public static Router of(
            Eventloop loop, Clock clock, Config config, Parts parts, RandomGenerator random) {
        return new Router(loop, clock, config, parts, random);
    }

    private static Placement placement(
            String name, PrefixDirectory prefixes, RandomGenerator random) {
        return switch (name) {
            case "std" -> CacheAwarePlacement.of(prefixes, random);
            case "random" -> BaselinePlacements.random(random);
            case "round-robin" -> BaselinePlacements.roundRobin();
            case "two-choices" -> BaselinePlacements.twoChoices(random);
            case "consistent-hash" -> BaselinePlacements.consistentHash();
            default -> throw new IllegalArgumentException("placement " + name);
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
                    mSync.setDecisions(mContext.decisions());
                    mServer =
                            HttpServer.builder(mLoop, this::serve)
                                    .withListenAddress(mConfig.listen())
                                    .withMaxBodySize(mConfig.maxBodyBytes())
                                    .withReadWriteTimeout(mConfig.requestTime())
                                    .withSocketInspector(mSockets)
                                    .withHttpErrorFormatter(this::formatError)
                                    .build();
                    listen();
                });
    }

    private void listen() throws IOException {
        mServer.listen();
        LOG.info("event=callers-listen address={}", address());
    }

    /** Fails the readiness check, then completes when every request in flight has ended. */
    @Override
    public CompletableFuture<Void> stop() {
        CompletableFuture<Void> drained = new CompletableFuture<>();
        mLoop.execute(
                () -> {
                    mLeaving = true;
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
        mAttempts.cutSilent();
        mContext.quotas().tick(mContext.clock().nowMillis());
        List.copyOf(mContext.flows()).stream()
                .filter(f -> mSockets.isGone(f.socket()))
                .forEach(RequestFlow::onHungUp);
        checkDrained();
    }

    @Override
    public Object dump() {
        Map<String, Object> m = new LinkedHashMap<>();
        m.put("in_flight", mContext.flows().size());
        m.put("attempts_open", mAttempts.open());
        m.put("leaving", mLeaving);
        m.put("requests", mCounters.requests());
        m.put("retry_budget", mContext.budget().tokens());
        m.put("decisions", mContext.decisions().latest(50));
        return m;
    }

    // ---------------------------------------------------------------- public API

    /** Returns the address on which callers are served. */
    public InetSocketAddress address() {
        return mServer.getBoundAddresses().get(0);
    }

    /** Returns whether the balancer should send callers here. */
    public boolean isReady() {
        return !mLeaving && mFleet.config().version() > 0 && !mFleet.view().targets().isEmpty();
    }

    /** Returns the decisions on requests, for explanations. */
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
            return ready().toPromise();
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
            return reject(NOT_ALLOWED, "method", http.getMethod() + "; allowed: POST");
        }
        TcpSocket socket = mSockets.of(http);
        return http.loadBody(mConfig.maxBodyBytes())
                .then(body -> accept(http, chat, body.getArray(), socket), e -> tooLarge());
    }

    private HttpResponse.Builder ready() {
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

    private Promise<HttpResponse> tooLarge() {
        String message = "body over " + mConfig.maxBodyBytes() + " bytes, or cut short";
        return reject(TOO_LARGE, "too_large", message);
    }

    private Promise<HttpResponse> reject(int status, String code, String message) {
        mCounters.onMalformed();
        return Responses.error(status, code, message)
                .withHeader(CallerHeaders.OUTCOME, "not-run")
                .toPromise();
    }

    /** Answers what the HTTP library found malformed; no stack trace reaches a caller. */
    private Promise<HttpResponse> formatError(Exception e) {
        mCounters.onMalformed();
        AttemptFailure r = AttemptFailure.failed(RefusalReason.BROKEN_ANSWER, "internal error");
        if (e instanceof IOException) {
            return Responses.refused(r).toPromise(); // the caller has gone; nobody reads this
        }
        if (e instanceof HttpException) {
            return Responses.error(400, "bad_request", "malformed HTTP request").toPromise();
        }
        LOG.error("event=request-failed", e);
        return Responses.refused(r).toPromise();
    }
}
