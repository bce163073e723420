package org.forkseam.bench;

import org.forkseam.core.label.Labels;
import org.forkseam.core.member.HostEntry;
import org.forkseam.daemon.Daemon;
import org.forkseam.daemon.cfg.Settings;
import org.forkseam.daemon.cfg.SettingsException;
import org.forkseam.standin.EngineStandin;
import org.forkseam.standin.PlatformStandin;
import org.forkseam.standin.ServiceStandin;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.ExecutionException;

/**
 * Fleet of routers, sidecars and test doubles in one process, on free loopback ports. Not
 * thread-safe.
 */
public final class LocalFleet implements AutoCloseable {
    /** Key of the admin interfaces. */
    public static final String OPERATORS_KEY = "tryout-operators";

    private static final String WIRE_KEY = "tryout-wire-key";
    private static final String TICKET_KEY = "tryout-ticket-key";
    private static final String ANY_PORT = "127.0.0.1:0";

    private final PlatformStandin mPlatform;
    private final long mSeed;
    private final Map<String, Daemon> mRouters = new LinkedHashMap<>();
    private final Map<String, Daemon> mSidecars = new LinkedHashMap<>();
    private final Map<String, Map<String, Map<String, String>>> mSettings = new TreeMap<>();
    private final Map<String, EngineStandin> mEngines = new LinkedHashMap<>();
    private final Map<String, ServiceStandin> mServices = new LinkedHashMap<>();
    private final Map<String, Labels> mLabels = new TreeMap<>();

    private LocalFleet(PlatformStandin platform, long seed) {
        mPlatform = platform;
        mSeed = seed;
    }

    /** Starts a fleet with a platform and no daemons. */
    public static LocalFleet start(long seed) throws InterruptedException, ExecutionException {
        return new LocalFleet(PlatformStandin.start(), seed);
    }

    /** Starts a configured fleet of one router and one engine. */
    public static LocalFleet startSingleEngine(EngineStandin.Speed speed) throws Exception {
        LocalFleet fleet = start(1);
        CliRunner cli = CliRunner.of(fleet.addRouter("entry-1", "a", "std"));
        fleet.addEngine("lm-1", "a", "lm", speed);
        Await.until("seen", () -> cli.run("get", "targets").out().lines().count() == 2);
        cli.apply("[pool p]\n[intent i]\npool = p\n");
        fleet.waitForConfig(1);
        return fleet;
    }

    /** Waits until every daemon has applied this configuration version or a later one. */
    public void waitForConfig(long version) throws Exception {
        for (Daemon d : daemons()) {
            Await.until(
                    "version " + version + " at " + d.wireAddress(),
                    () -> d.registry().get("forkseam.config.version").gauge().value() >= version);
        }
    }

    // ---------------------------------------------------------------- building

    /** Adds a router. */
    public Daemon addRouter(String host, String domain, String placement)
            throws InterruptedException, ExecutionException {
        Map<String, Map<String, String>> s = commonSettings(host, domain, "router");
        s.put(
                "callers",
                Map.of("listen", ANY_PORT, "ticket-key", TICKET_KEY, "placement", placement));
        Daemon d = startDaemon(host, s);
        mRouters.put(host, d);
        addToHostList(host, domain, d.wireAddress(), Labels.of(Map.of("role", "router")));
        return d;
    }

    /** Adds an engine with its sidecar. */
    public EngineStandin addEngine(
            String target, String domain, String model, EngineStandin.Speed speed)
            throws InterruptedException, ExecutionException {
        EngineStandin e = EngineStandin.start(target, speed, true);
        mEngines.put(target, e);
        addSidecar(target, domain, "engine", e.url(), speed.slots(), Map.of("model", model));
        return e;
    }

    /** Adds a plain service with its sidecar. */
    public ServiceStandin addService(String target, String domain, String service, int capacity)
            throws InterruptedException, ExecutionException {
        ServiceStandin s = ServiceStandin.start(target);
        mServices.put(target, s);
        addSidecar(target, domain, "service", s.url(), capacity, Map.of("service", service));
        return s;
    }

    /** Adds sidecars for one service and adds all of them to the host list at the end. */
    public void addSidecars(int count, String url) throws InterruptedException, ExecutionException {
        List<Runnable> listings = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            String target = "t%04d".formatted(i);
            Map<String, String> labels = Map.of("service", "svc");
            listings.add(startSidecar(target, "d" + i % 9, "service", url, 8, labels));
        }
        listings.forEach(Runnable::run);
    }

    private void addSidecar(
            String target,
            String domain,
            String kind,
            String url,
            int capacity,
            Map<String, String> labels)
            throws InterruptedException, ExecutionException {
        startSidecar(target, domain, kind, url, capacity, labels).run();
    }

    /** Starts a sidecar and returns the action that adds it to the host list. */
    private Runnable startSidecar(
            String target,
            String domain,
            String kind,
            String url,
            int capacity,
            Map<String, String> labels)
            throws InterruptedException, ExecutionException {
        String host = "host-" + target;
        Map<String, Map<String, String>> s = commonSettings(host, domain, "sidecar");
        s.put(
                "target",
                Map.of(
                        "name",
                        target,
                        "kind",
                        kind,
                        "url",
                        url,
                        "capacity",
                        Integer.toString(capacity)));
        Map<String, String> all = new TreeMap<>(labels);
        all.put(HostEntry.ROLE, "sidecar");
        all.put(HostEntry.TARGET, target);
        all.put(HostEntry.KIND, kind);
        all.put(HostEntry.CAPACITY, Integer.toString(capacity));
        mLabels.put(target, Labels.of(all));
        Daemon d = startDaemon(host, s);
        mSidecars.put(target, d);
        return () -> addToHostList(host, domain, d.wireAddress(), Labels.of(all));
    }

    private Map<String, Map<String, String>> commonSettings(
            String host, String domain, String role) {
        Map<String, Map<String, String>> s = new TreeMap<>();
        s.put("daemon", Map.of("role", role, "host", host, "failure-domain", domain));
        s.put("wire", Map.of("listen", ANY_PORT, "key", WIRE_KEY));
        s.put("operators", Map.of("listen", ANY_PORT, "key", OPERATORS_KEY));
        s.put(
                "platform",
                Map.of(
                        "table-service",
                        mPlatform.tableUrl(),
                        "object-store",
                        mPlatform.bucketUrl(),
                        "host-list",
                        mPlatform.hostsUrl(),
                        "host-list-ms",
                        "200"));
        return s;
    }

    private Daemon startDaemon(String host, Map<String, Map<String, String>> settings)
            throws InterruptedException, ExecutionException {
        mSettings.put(host, settings);
        try {
            long seed = mSeed * 31 + host.hashCode();
            Daemon d = Daemon.of(Settings.validate(host, settings), new SplittableRandom(seed));
            d.start();
            return d;
        } catch (SettingsException e) {
            throw new IllegalStateException(e);
        }
    }

    private void addToHostList(
            String host, String domain, InetSocketAddress address, Labels labels) {
        String hostPort = address.getAddress().getHostAddress() + ":" + address.getPort();
        Labels all = labels.with(HostEntry.FAILURE_DOMAIN, domain);
        mPlatform.putHost(new HostEntry(host, hostPort, false, all));
    }

    // ---------------------------------------------------------------- faults

    /** Simulates the loss of a host by killing a target and its sidecar. */
    public void killTarget(String target) throws InterruptedException, ExecutionException {
        mSidecars.remove(target).kill();
        if (mEngines.containsKey(target)) {
            mEngines.remove(target).kill();
        } else {
            mServices.remove(target).kill();
        }
    }

    /** Kills a sidecar and leaves its target running. */
    public void killSidecar(String target) throws InterruptedException {
        mSidecars.remove(target).kill();
    }

    /** Restarts a sidecar on the given address without any state. */
    public Daemon restartSidecar(String target, InetSocketAddress address)
            throws InterruptedException, ExecutionException {
        String host = "host-" + target;
        Map<String, Map<String, String>> s = new TreeMap<>(mSettings.get(host));
        Map<String, String> wire = new TreeMap<>(s.get("wire"));
        wire.put("listen", toHostPort(address));
        s.put("wire", wire);
        Daemon d = startDaemon(host, s);
        mSidecars.put(target, d);
        return d;
    }

    /** Kills a router. */
    public void killRouter(String host) throws InterruptedException {
        mRouters.remove(host).kill();
    }

    /** Sets whether the host list marks a target's host as leaving. */
    public void setLeaving(String target, String domain, boolean leaving) {
        InetSocketAddress a = mSidecars.get(target).wireAddress();
        Labels all = mLabels.get(target).with(HostEntry.FAILURE_DOMAIN, domain);
        mPlatform.putHost(new HostEntry("host-" + target, toHostPort(a), leaving, all));
    }

    /** Stops a router gracefully. */
    public void stopRouter(String host) throws InterruptedException {
        mRouters.remove(host).stop();
    }

    /** Stops a sidecar gracefully and leaves its target running. */
    public void stopSidecar(String target) throws InterruptedException {
        mSidecars.remove(target).stop();
    }

    // ---------------------------------------------------------------- accessors

    /** Returns the platform. */
    public PlatformStandin platform() {
        return mPlatform;
    }

    /** Returns a router by host. */
    public Daemon router(String host) {
        return mRouters.get(host);
    }

    /** Returns a sidecar by its target. */
    public Daemon sidecar(String target) {
        return mSidecars.get(target);
    }

    /** Returns all daemons. */
    public List<Daemon> daemons() {
        List<Daemon> all = new ArrayList<>(mRouters.values());
        all.addAll(mSidecars.values());
        return all;
    }

    /** Returns the running engines by target. */
    public Map<String, EngineStandin> engines() {
        return mEngines;
    }

    /** Returns the running services by target. */
    public Map<String, ServiceStandin> services() {
        return mServices;
    }

    /** Formats an address as {@code ip:port}. */
    public static String toHostPort(InetSocketAddress a) {
        return a.getAddress().getHostAddress() + ":" + a.getPort();
    }

    /** Kills all daemons and stops all test doubles. */
    @Override
    public void close() throws InterruptedException {
        for (Daemon d : daemons()) {
            d.kill();
        }
        for (EngineStandin e : mEngines.values()) {
            e.stop();
        }
        for (ServiceStandin s : mServices.values()) {
            s.stop();
        }
        mPlatform.stop();
    }
}
