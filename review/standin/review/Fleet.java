package review;

import java.io.File;
import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URL;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** One router process, started by the command of the deploy file, and the store beside it. */
final class Fleet implements AutoCloseable {
    private static final int READY_SECONDS = 30;

    final Store store;
    final String ip;
    final int callers;
    private final int mReadiness;
    private final int mControl;
    private final Path mFolder;
    private final List<String> mServices = new ArrayList<>();
    private final List<String> mRoutes = new ArrayList<>();
    private final List<Process> mProcesses = new ArrayList<>();
    private List<String> mKeys = List.of("key1");
    private Process mRouter;
    private int mVersion = 1;

    Fleet() throws IOException {
        // Each run has a loopback address of its own, as the metrics port is fixed.
        long pid = ProcessHandle.current().pid();
        ip = "127." + (1 + pid / 250 / 250 % 250) + "." + pid / 250 % 250 + "." + (2 + pid % 250);
        store = new Store(ip);
        callers = freePort(ip);
        mReadiness = freePort(ip);
        mControl = freePort(ip);
        mFolder = Files.createTempDirectory("forkseam-review");
    }

    static int freePort(String ip) throws IOException {
        try (ServerSocket s = new ServerSocket(0, 1, InetAddress.getByName(ip))) {
            return s.getLocalPort();
        }
    }

    void service(String name) {
        mServices.add(
                "{\"name\":\""
                        + name
                        + "\",\"health-path\":\"/health\",\"max-connections\":110,"
                        + "\"protocol\":\"h1\",\"tls\":false}");
    }

    /** Adds a route. */
    void route(String prefix, String kind, int attempts, long timeoutMillis, String service) {
        mRoutes.add(
                "{\"name\":\"r-"
                        + mRoutes.size()
                        + "\",\"host\":\"h.example\",\"path-prefix\":\""
                        + prefix
                        + "\",\"kind\":\""
                        + kind
                        + "\",\"timeout-ms\":"
                        + timeoutMillis
                        + ",\"target-latency-ms\":600,\"priority\":1,\"service\":\""
                        + service
                        + "\",\"max-attempts\":"
                        + attempts
                        + ",\"public\":false,\"sticky\":false,\"resumable\":false}");
    }

    /** Sets the keys of the only tenant in the next configuration. */
    void setKeys(List<String> keys) {
        mKeys = keys;
    }

    /** Writes the configuration as the operator. */
    void configure() {
        store.put(
                "op",
                "config",
                "{\"version\":"
                        + ++mVersion
                        + ",\"routes\":["
                        + String.join(",", mRoutes)
                        + "],\"services\":["
                        + String.join(",", mServices)
                        + "],\"limits\":{\"max-header-bytes\":16384,\"max-body-bytes\":4194304,"
                        + "\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000},"
                        + "\"tenants\":[{\"name\":\"team\",\"api-keys\":["
                        + String.join(",", mKeys.stream().map(Json::quote).toList())
                        + "],\"priority\":1}]}");
    }

    /** Registers a server. */
    void register(String id, String service, int port, int slots) {
        store.put(
                "servers",
                id,
                "{\"service\":\""
                        + service
                        + "\",\"address\":\""
                        + ip
                        + ":"
                        + port
                        + "\",\"zone\":\"hall-a\",\"version\":\"v1\",\"slots\":"
                        + slots
                        + ",\"state\":\"ready\",\"cold-remaining-ms\":0,\"sequence\":1}");
    }

    private String settings() throws IOException {
        int internal = freePort(ip);
        return String.join(
                "\n",
                "node-name=front-hall-a-1",
                "role=router",
                "machine-class=front",
                "serves=front,control",
                "ip=" + ip,
                "zone=hall-a",
                "region=semey",
                "zones.hall-a=semey",
                "listen.front=" + ip + ":" + callers,
                "listen.readiness=" + ip + ":" + mReadiness,
                "listen.control=" + ip + ":" + mControl,
                "internal-ports=" + internal + "," + internal,
                "seeds=" + ip + ":" + mControl,
                "bootstrap=true",
                "limits.memory-mb=430",
                "limits.max-fds=4100",
                "heartbeat-interval-ms=1200",
                "contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,platform",
                "bounds.contact-timeout-ms=3000",
                "bounds.drain-timeout-ms=2000",
                "bounds.grace-period-s=8",
                "bounds.loss-slack-ms=200",
                "bounds.config-apply-ms=2000",
                "bounds.retry-budget-ratio=0.2",
                "bounds.budget-window-s=10",
                "bounds.retry-budget-slack=56",
                "bounds.recovery-s=12",
                "bounds.cap_x=2",
                "platform.address=" + store.address(),
                "platform.form=table",
                "");
    }

    void start() throws IOException {
        Path settings = mFolder.resolve("settings.conf");
        Files.writeString(settings, settings());
        Matcher run =
                Pattern.compile("(?m)^run = \"(.*)\"$")
                        .matcher(Files.readString(Path.of("deploy/system.toml")));
        if (!run.find()) {
            throw new IOException("no command in deploy/system.toml");
        }
        ProcessBuilder b = new ProcessBuilder(Arrays.asList(run.group(1).split(" ")));
        b.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        b.environment().put("FORKSEAM_SETTINGS", settings.toString());
        b.redirectErrorStream(true);
        b.redirectOutput(mFolder.resolve("router.log").toFile());
        mRouter = own(b.start());
    }

    /** Ends a process with this one. */
    Process own(Process p) {
        mProcesses.add(p);
        Runtime.getRuntime().addShutdownHook(new Thread(p::destroyForcibly));
        return p;
    }

    void awaitReady() throws IOException, InterruptedException {
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(READY_SECONDS);
        while (readiness() != 200) {
            if (System.nanoTime() > until || !mRouter.isAlive()) {
                throw new IOException("router is not ready: " + log());
            }
            Thread.sleep(50);
        }
    }

    /** Asks as the platform does; 0 without an answer. */
    int readiness() {
        try {
            URL url = new URL("http://" + ip + ":" + mReadiness + "/v1/ready");
            HttpURLConnection c = (HttpURLConnection) url.openConnection();
            c.setConnectTimeout(500);
            c.setReadTimeout(500);
            return c.getResponseCode();
        } catch (IOException e) {
            return 0;
        }
    }

    /** Sends SIGTERM. */
    void terminate() {
        mRouter.destroy();
    }

    boolean isAlive() {
        return mRouter.isAlive();
    }

    boolean awaitExit(long millis) throws InterruptedException {
        return mRouter.waitFor(millis, TimeUnit.MILLISECONDS);
    }

    String log() throws IOException {
        return Files.readString(mFolder.resolve("router.log"));
    }

    @Override
    public void close() throws IOException {
        for (Process p : mProcesses) {
            p.destroyForcibly();
            try {
                p.waitFor();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        if (System.getenv("KEEP_LOG") != null) {
            System.err.println(log());
        }
        for (File f : mFolder.toFile().listFiles()) {
            f.delete();
        }
        mFolder.toFile().delete();
    }
}
