package org.forkseam.daemon;

import io.activej.eventloop.Eventloop;
import io.micrometer.core.instrument.binder.jvm.JvmMemoryMetrics;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;

import org.forkseam.core.kernel.ServiceManager;
import org.forkseam.core.util.Clock;
import org.forkseam.core.util.DecisionLog;
import org.forkseam.daemon.admin.AdminApi;
import org.forkseam.daemon.admin.DecisionExplainer;
import org.forkseam.daemon.cfg.SettingKey;
import org.forkseam.daemon.cfg.Settings;
import org.forkseam.daemon.net.LinkManager;
import org.forkseam.daemon.orders.OrderHandler;
import org.forkseam.daemon.orders.RolloutController;
import org.forkseam.daemon.router.Router;
import org.forkseam.daemon.share.ClaimSweeper;
import org.forkseam.daemon.share.ConfigStore;
import org.forkseam.daemon.share.ConfigWriter;
import org.forkseam.daemon.share.Fleet;
import org.forkseam.daemon.share.FleetSync;
import org.forkseam.daemon.sidecar.CacheLifetimeEstimator;
import org.forkseam.daemon.sidecar.ClaimManager;
import org.forkseam.daemon.sidecar.ClaimStore;
import org.forkseam.daemon.sidecar.HttpTargetClient;
import org.forkseam.daemon.sidecar.Sidecar;
import org.forkseam.daemon.sidecar.SidecarCounters;
import org.forkseam.platform.WeightStore;
import org.forkseam.platform.http.HttpHostList;
import org.forkseam.platform.http.HttpObjectStore;
import org.forkseam.platform.http.HttpTableService;
import org.forkseam.platform.http.HttpWeightStore;
import org.forkseam.platform.http.PlatformHttpClient;
import org.forkseam.wire.Link;
import org.forkseam.wire.WireCounters;
import org.forkseam.wire.WireIdentity;
import org.forkseam.wire.WireSettings;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.channels.Channel;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ExecutionException;
import java.util.function.ToDoubleFunction;
import java.util.random.RandomGenerator;

/**
 * A daemon, assembled from its settings: an event loop and the services that run on it.
 *
 * <p>Its methods must be called from a thread other than the event loop.
 *
 * @since 0.1
 */
public final class Daemon {
    private final Settings mSettings;
    private final Clock mClock = Clock.system();
    private final Eventloop mLoop;
    private final ServiceManager mServiceManager;
    private final PrometheusMeterRegistry mRegistry =
            new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
    private final RandomGenerator mRandom;
    private final long mIncarnation;
    private final Fleet mFleet = new Fleet();
    private final PlatformHttpClient mHttp;
    private final HttpTableService mTable;
    private final LinkManager mLinks;
    private final FleetSync mSync;
    private final ConfigStore mConfigStore;
    private Router mRouter;
    private Sidecar mSidecar;
    private Optional<HttpTargetClient> mTargetClient = Optional.empty();
    private AdminApi mAdmin;
    private Thread mThread;

    private Daemon(Settings settings, RandomGenerator random) {
        mSettings = settings;
        mRandom = random;
        mIncarnation = mClock.nowMillis();
        mLoop = Eventloop.builder().withThreadName("loop-" + host()).build();
        mServiceManager = ServiceManager.of(settings.integer(SettingKey.DRAIN_TIMEOUT_MILLIS));
        mHttp =
                PlatformHttpClient.of(
                        mLoop,
                        Duration.ofMillis(settings.integer(SettingKey.PLATFORM_TIMEOUT_MILLIS)));
        mTable = HttpTableService.of(mHttp, settings.text(SettingKey.TABLE_SERVICE));
        mConfigStore =
                ConfigStore.of(
                        mTable, HttpObjectStore.of(mHttp, settings.text(SettingKey.OBJECT_STORE)));
        mLinks = LinkManager.of(mLoop, wireSettings(), settings.address(SettingKey.WIRE_LISTEN));
        mSync = sync();
        addServices();
    }

    /** Creates a daemon without starting it. */
    public static Daemon of(Settings settings, RandomGenerator random) {
        return new Daemon(settings, random);
    }

    // ---------------------------------------------------------------- construction

    private String host() {
        return mSettings.text(SettingKey.HOST);
    }

    private WireSettings wireSettings() {
        String target = mSettings.optional(SettingKey.TARGET_NAME).orElse("");
        WireIdentity id =
                WireIdentity.of(
                        host(),
                        mSettings.text(SettingKey.ROLE),
                        target,
                        mIncarnation,
                        mSettings.text(SettingKey.WIRE_KEY));
        WireSettings w = WireSettings.of(id);
        Optional<String> certificate = mSettings.optional(SettingKey.TLS_CERTIFICATE);
        if (certificate.isEmpty()) {
            return w;
        }
        return w.withTls(
                new WireSettings.Tls(
                        certificate.get(),
                        mSettings.text(SettingKey.TLS_KEY),
                        mSettings.text(SettingKey.TLS_AUTHORITY)));
    }

    private FleetSync sync() {
        return FleetSync.of(
                mLoop,
                mClock,
                mFleet,
                new FleetSync.Sources(
                        HttpHostList.of(mHttp, mSettings.text(SettingKey.HOST_LIST)),
                        mConfigStore,
                        mLinks),
                new FleetSync.PollIntervals(
                        mSettings.integer(SettingKey.HOST_LIST_INTERVAL_MILLIS),
                        mSettings.integer(SettingKey.CONFIG_INTERVAL_MILLIS)),
                host(),
                mRandom);
    }

    private void addServices() {
        new JvmMemoryMetrics().bindTo(mRegistry);
        registerCounter("forkseam.control.bytes", WireCounters::controlBytes);
        registerCounter("forkseam.data.bytes", WireCounters::dataBytes);
        registerCounter("forkseam.wire.rejected.peers", WireCounters::rejectedPeers);
        registerCounter("forkseam.wire.malformed", WireCounters::malformed);
        mRegistry.gauge("forkseam.config.version", mFleet, f -> f.config().version());
        if (!mSettings.isRouter()) {
            mTargetClient =
                    Optional.of(HttpTargetClient.of(mLoop, mSettings.text(SettingKey.TARGET_URL)));
            mServiceManager.add(mTargetClient.get()); // stops last, after the links
        }
        mServiceManager.add(mLinks).add(mSync);
        mServiceManager.add(ClaimSweeper.of(mLoop, mClock, mFleet, mTable, host()));
        mServiceManager.add(rollouts());
        DecisionLog decisions;
        if (mSettings.isRouter()) {
            mRouter = router();
            mServiceManager.add(mRouter);
            decisions = mRouter.decisions();
        } else {
            mSidecar = sidecar(mTargetClient.orElseThrow());
            mServiceManager.add(mSidecar);
            decisions = mSidecar.decisions();
        }
        mAdmin = admin(decisions);
        mServiceManager.add(mAdmin);
    }

    private void registerCounter(String name, ToDoubleFunction<WireCounters> value) {
        mRegistry.more().counter(name, List.of(), mLinks.counters(), value);
    }

    private RolloutController rollouts() {
        Optional<WeightStore> weights =
                mSettings
                        .optional(SettingKey.WEIGHT_STORE)
                        .map(url -> HttpWeightStore.of(mHttp, url));
        RolloutController.Dependencies dependencies =
                new RolloutController.Dependencies(mFleet, mSync, mLinks, mTable, weights);
        return RolloutController.of(mLoop, mClock, dependencies, host());
    }

    private Router router() {
        Router.Config config =
                new Router.Config(
                        host(),
                        mIncarnation,
                        mSettings.address(SettingKey.CALLERS_LISTEN),
                        mSettings.integer(SettingKey.MAX_BODY_BYTES),
                        Duration.ofMillis(mSettings.integer(SettingKey.REQUEST_TIMEOUT_MILLIS)),
                        mSettings.text(SettingKey.TICKET_KEY),
                        mSettings.text(SettingKey.PLACEMENT));
        Router.Dependencies dependencies =
                new Router.Dependencies(
                        mFleet, mSync, mLinks, ClaimStore.of(mLoop, mTable), mRegistry);
        return Router.of(mLoop, mClock, config, dependencies, mRandom);
    }

    private Sidecar sidecar(HttpTargetClient client) {
        String target = mSettings.text(SettingKey.TARGET_NAME);
        Sidecar.Config config =
                new Sidecar.Config(
                        target,
                        mSettings.integer(SettingKey.TARGET_CAPACITY),
                        mIncarnation,
                        mSettings.integer(SettingKey.RETAINED_RESPONSE_BYTES));
        Sidecar.Dependencies dependencies =
                new Sidecar.Dependencies(
                        mFleet,
                        mSync,
                        mLinks,
                        client,
                        ClaimManager.of(ClaimStore.of(mLoop, mTable), target, mIncarnation),
                        cacheLifetimeEstimator(),
                        SidecarCounters.of(mRegistry));
        if (isEngine()) {
            String url = mSettings.text(SettingKey.TARGET_URL);
            mLinks.addListener(OrderHandler.of(mHttp, url, mTable, mSync::packet));
        }
        Sidecar s = Sidecar.of(mLoop, mClock, config, dependencies, mRandom);
        mRegistry.gauge("forkseam.target.load", s, x -> x.admission().load());
        return s;
    }

    private boolean isEngine() {
        return mSettings.text(SettingKey.TARGET_KIND).equals("engine");
    }

    /** Only engines have a cache to watch; other services receive only requests of callers. */
    private Optional<CacheLifetimeEstimator> cacheLifetimeEstimator() {
        if (!isEngine()) {
            return Optional.empty();
        }
        String url = mSettings.text(SettingKey.TARGET_URL);
        return Optional.of(CacheLifetimeEstimator.of(mLoop, mHttp, url, mClock));
    }

    private AdminApi admin(DecisionLog decisions) {
        AdminApi.Config config =
                new AdminApi.Config(
                        host(),
                        mSettings.address(SettingKey.OPERATORS_LISTEN),
                        mSettings.text(SettingKey.OPERATORS_KEY));
        AdminApi.Dependencies dependencies =
                new AdminApi.Dependencies(
                        mFleet,
                        mSync,
                        ConfigWriter.of(mFleet, mSync, mConfigStore, mClock),
                        this::dump,
                        mRegistry::scrape,
                        this::isReady,
                        mRegistry.counter("forkseam.admin.unauthorized")::increment);
        return AdminApi.of(
                mLoop,
                mClock,
                config,
                dependencies,
                DecisionExplainer.of(host(), mFleet, mSync, decisions));
    }

    // ---------------------------------------------------------------- life-cycle

    /** Starts the event loop and all services. */
    public void start() throws InterruptedException, ExecutionException {
        mLoop.keepAlive(true);
        mThread = new Thread(mLoop, "loop-" + host());
        mThread.start();
        try {
            mServiceManager.start();
        } catch (ExecutionException e) {
            stopLoop();
            throw e;
        }
    }

    /** Stops gracefully: in-flight requests may finish within the configured time. */
    public void stop() throws InterruptedException {
        mServiceManager.stop();
        stopLoop();
    }

    private void stopLoop() throws InterruptedException {
        mLoop.execute(
                () -> {
                    mHttp.stop();
                    mLoop.keepAlive(false);
                    mLoop.breakEventloop();
                });
        mThread.join();
    }

    /** Closes all channels abruptly to simulate a crash; for tests. */
    public void kill() throws InterruptedException {
        mLoop.execute(
                () -> {
                    mLoop.getSelector().keys().forEach(k -> closeChannel(k.channel()));
                    mLoop.keepAlive(false);
                    mLoop.breakEventloop();
                });
        mLinks.stop().join();
        mThread.join();
        mTargetClient.ifPresent(c -> c.stop().join());
    }

    /** Closes all links to other daemons to simulate a network failure; for tests. */
    public void closeLinks() {
        mLoop.execute(() -> mLinks.openLinks().forEach(Link::close));
    }

    private static void closeChannel(Channel channel) {
        try {
            channel.close();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    // ---------------------------------------------------------------- accessors

    private boolean isReady() {
        return mRouter == null ? !mSidecar.admission().isLeaving() : mRouter.isReady();
    }

    private Map<String, Object> dump() {
        Map<String, Object> out = mServiceManager.dump();
        out.put("settings", mSettings.dump());
        out.put("host", host());
        out.put("incarnation", mIncarnation);
        return out;
    }

    /** Returns the address bound for operators. */
    public InetSocketAddress operatorsAddress() {
        return mAdmin.address();
    }

    /** Returns the address bound for other daemons. */
    public InetSocketAddress wireAddress() {
        return mLinks.address();
    }

    /** Returns the address bound for callers; routers only. */
    public InetSocketAddress callersAddress() {
        return mRouter.address();
    }

    /** Returns the metrics registry. */
    public PrometheusMeterRegistry registry() {
        return mRegistry;
    }
}
