package review2;

import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/** Addresses, settings and router processes of one case. */
final class Lab {
    static final int BROKEN = 1;
    static final int HELD = 0;
    static final int NOT_RUN = 2;

    private static final int STORE_PORT = 18223;
    private static final int FRONT_PORT = 18227;
    private static final int READY_PORT = 18220;
    private static final int CONTROL_PORT = 18229;
    private static final int METRICS_PORT = 9464; // the router's default
    private static final int APP_PORT = 18240;
    private static final long MAX_MILLIS = 110_000;

    final boolean mTrouble;
    final Store mStore;
    final String mNet;
    final Path mFolder;
    private final List<RouterProcess> mRouters = new ArrayList<>();

    /** What a case does; returns whether the rule was broken. */
    interface Case {
        boolean isBroken(Lab lab) throws Exception;
    }

    private Lab(boolean trouble, Path temp) throws IOException {
        mTrouble = trouble;
        mFolder = temp;
        mNet = freeNet();
        mStore = new Store(mNet + ".1", STORE_PORT);
    }

    static void thread(Runnable r) {
        Thread t = new Thread(r);
        t.setDaemon(true);
        t.start();
    }

    /** Runs a case; the first argument is its folder. Ends the process. */
    static void run(String[] args, Case c) throws IOException {
        Record.open(Path.of(args[0]));
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Record.line("TROUBLE=%d", trouble ? 1 : 0);
        Path temp = Files.createTempDirectory("forkseam-review");
        int status = NOT_RUN;
        Lab[] lab = new Lab[1];
        Runtime.getRuntime().addShutdownHook(new Thread(() -> end(lab[0], temp)));
        thread(
                () -> {
                    sleep(MAX_MILLIS);
                    Record.line("time is up");
                    System.exit(NOT_RUN);
                });
        try {
            lab[0] = new Lab(trouble, temp);
            status = c.isBroken(lab[0]) ? BROKEN : HELD;
        } catch (Exception e) {
            Record.line("could not run: %s", e);
        }
        Record.line(
                "%s",
                status == BROKEN ? "BROKEN" : status == HELD ? "held" : "the case did not run");
        System.out.println(
                status == BROKEN ? "BROKEN" : status == HELD ? "held" : "the case did not run");
        System.exit(status);
    }

    private static void end(Lab lab, Path temp) {
        if (lab != null) {
            lab.mRouters.forEach(RouterProcess::kill);
        }
        try (Stream<Path> files = Files.walk(temp)) {
            files.sorted(Comparator.reverseOrder()).map(Path::toFile).forEach(File::delete);
        } catch (IOException e) {
            // the folder is gone
        }
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Returns the first three numbers of loopback addresses on which the ports are free. */
    private static String freeNet() throws IOException {
        Random random = new Random();
        for (int i = 0; i < 100; i++) {
            String net = "127." + (20 + random.nextInt(200)) + "." + random.nextInt(250);
            if (isFree(net + ".1", STORE_PORT)
                    && isFree(net + ".21", FRONT_PORT)
                    && isFree(net + ".21", METRICS_PORT)
                    && isFree(net + ".11", APP_PORT)) {
                return net;
            }
        }
        throw new IOException("no free loopback addresses");
    }

    private static boolean isFree(String ip, int port) {
        try (ServerSocket s = new ServerSocket(port, 1, InetAddress.getByName(ip))) {
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    AppServer server(int n, AppServer.Handler h) throws IOException {
        return new AppServer("i-" + n, mNet + "." + (10 + n), APP_PORT, h);
    }

    // ---------------------------------------------------------------- configuration

    static Map<String, Object> limits(long headerBytes, long bodyBytes, long idleMillis) {
        Map<String, Object> m = new LinkedHashMap<>();
        m.put("max-header-bytes", headerBytes);
        m.put("max-body-bytes", bodyBytes);
        m.put("header-timeout-ms", 3000L);
        m.put("idle-timeout-ms", idleMillis);
        return m;
    }

    static Map<String, Object> route(
            String prefix, String kind, long timeoutMillis, long attempts) {
        Map<String, Object> m = new LinkedHashMap<>();
        m.put("name", "r-" + prefix.replace("/", ""));
        m.put("host", "desk.example");
        m.put("path-prefix", prefix);
        m.put("kind", kind);
        m.put("timeout-ms", timeoutMillis);
        m.put("target-latency-ms", 400L);
        m.put("priority", 1L);
        m.put("service", "desk");
        m.put("max-attempts", attempts);
        m.put("public", true);
        return m;
    }

    static Map<String, Object> config(
            long version, List<Map<String, Object>> routes, Map<String, Object> limits) {
        Map<String, Object> service = new LinkedHashMap<>();
        service.put("name", "desk");
        service.put("health-path", "/health");
        service.put("max-connections", 370L);
        Map<String, Object> m = new LinkedHashMap<>();
        m.put("version", version);
        m.put("routes", routes);
        m.put("services", List.of(service));
        m.put("limits", limits);
        return m;
    }

    // ---------------------------------------------------------------- routers

    RouterProcess router(int n, String storeAddress) throws IOException {
        RouterProcess r = new RouterProcess(n, storeAddress);
        mRouters.add(r);
        return r;
    }

    /** A router process, started with the command of the deploy file. */
    final class RouterProcess {
        private final String mIp;
        private final Path mSettings;
        private final Path mLog;
        private final Map<String, String> mFields = new LinkedHashMap<>();
        private Process mProcess;

        private RouterProcess(int n, String storeAddress) throws IOException {
            mIp = mNet + "." + (20 + n);
            mSettings = mFolder.resolve("settings-" + n + ".conf");
            mLog = mFolder.resolve("router-" + n + ".log");
            String fixed =
                    """
                    role=router
                    machine-class=front
                    serves=front,control
                    zone=zone-a
                    region=region-a
                    zones.zone-a=region-a
                    internal-ports=17340,17355
                    bootstrap=true
                    loss-counts=false
                    limits.cpu-share=0.57
                    limits.cores=1
                    limits.memory-mb=430
                    limits.max-fds=4100
                    limits.link-mbps=1000.0
                    limits.disk-mb=0
                    discovery=platform
                    entry=virtual_ip
                    heartbeat-interval-ms=1200
                    contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,platform
                    fault-tolerance.machines=2
                    bounds.seed-lag-s=3
                    bounds.reuse-after-s=2
                    bounds.contact-timeout-ms=3000
                    bounds.ack-timeout-ms=4000
                    bounds.catch-up-s=4
                    bounds.drain-timeout-ms=2000
                    bounds.grace-period-s=8
                    bounds.loss-slack-ms=200
                    bounds.config-apply-ms=2000
                    bounds.rollback-slack-ms=250
                    bounds.outer-ms=5000
                    bounds.retry-budget-ratio=0.2
                    bounds.budget-window-s=10
                    bounds.retry-budget-slack=56
                    bounds.recovery-s=12
                    bounds.pass_ms=120
                    bounds.again_s=10
                    bounds.cap_x=2
                    platform.form=table
                    platform.writes_per_s=400
                    platform.reads_per_s=2000
                    platform.row_bytes=65536
                    platform.history-s=20
                    """;
            fixed.lines().forEach(l -> mFields.put(l.split("=", 2)[0], l.split("=", 2)[1]));
            mFields.put("node-name", "front-zone-a-" + n);
            mFields.put("ip", mIp);
            mFields.put("listen.front", mIp + ":" + FRONT_PORT);
            mFields.put("listen.readiness", mIp + ":" + READY_PORT);
            mFields.put("listen.control", mIp + ":" + CONTROL_PORT);
            mFields.put("seeds", mNet + ".21:" + CONTROL_PORT);
            mFields.put("platform.address", storeAddress);
            writeSettings();
        }

        /** Changes a field of the settings file, as the platform lays it. */
        void set(String field, String value) throws IOException {
            mFields.put(field, value);
            writeSettings();
            Record.line("settings: %s=%s", field, value);
        }

        private void writeSettings() throws IOException {
            StringBuilder b = new StringBuilder();
            mFields.forEach((k, v) -> b.append(k).append('=').append(v).append('\n'));
            Path next = mFolder.resolve("settings.next");
            Files.writeString(next, b);
            Files.move(next, mSettings, StandardCopyOption.ATOMIC_MOVE);
        }

        void start() throws IOException {
            String deploy = Files.readString(Path.of("deploy/system.toml"));
            Matcher m = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(deploy);
            if (!m.find()) {
                throw new IOException("no command in the deploy file");
            }
            ProcessBuilder b = new ProcessBuilder(m.group(1).split(" "));
            Map<String, String> env = b.environment();
            env.keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
            env.put("FORKSEAM_SETTINGS", mSettings.toString());
            b.redirectErrorStream(true);
            b.redirectOutput(ProcessBuilder.Redirect.appendTo(mLog.toFile()));
            mProcess = b.start();
            Record.line("router %s started, pid %d", mIp, mProcess.pid());
        }

        void signal(String name) throws IOException, InterruptedException {
            Record.line("router %s gets SIG%s", mIp, name);
            new ProcessBuilder("kill", "-" + name, Long.toString(mProcess.pid()))
                    .start()
                    .waitFor();
        }

        boolean awaitEnd(long millis) throws InterruptedException {
            boolean ended = mProcess.waitFor(millis, TimeUnit.MILLISECONDS);
            Record.line("router %s %s", mIp, ended ? "has ended" : "still runs");
            return ended;
        }

        void kill() {
            if (mProcess != null) {
                mProcess.destroyForcibly();
            }
        }

        boolean isReady() {
            try (Http h = Http.connect(mIp, READY_PORT, 500)) {
                h.mSocket.setSoTimeout(1000);
                h.write("GET /v1/ready HTTP/1.1\r\nHost: " + mIp + "\r\n\r\n", new byte[0]);
                return h.answer().status() == 200;
            } catch (IOException e) {
                return false;
            }
        }

        void awaitReady() throws IOException {
            for (int i = 0; i < 300; i++) {
                if (isReady()) {
                    Record.line("router %s is ready", mIp);
                    return;
                }
                sleep(100);
            }
            throw new IOException("router is not ready:\n" + Files.readString(mLog));
        }

        Http connect() throws IOException {
            return Http.connect(mIp, FRONT_PORT, 1000);
        }

        /** Returns the lines of the router's log with the given text. */
        List<String> log(String text) throws IOException {
            return Files.readAllLines(mLog, StandardCharsets.UTF_8).stream()
                    .filter(l -> l.contains(text))
                    .toList();
        }
    }

    /** Returns the head of a client's request. */
    static String head(
            String method, String path, String id, long deadlineMillis, long length, String more) {
        return method
                + " "
                + path
                + " HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: "
                + id
                + "\r\nRequest-Deadline-Ms: "
                + deadlineMillis
                + "\r\nContent-Length: "
                + length
                + "\r\n"
                + more
                + "\r\n";
    }
}
