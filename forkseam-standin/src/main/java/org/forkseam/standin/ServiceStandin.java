package org.forkseam.standin;

import io.activej.http.HttpHeaders;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.promise.Promise;
import io.activej.promise.Promises;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Test double of a plain service that echoes any request and counts the executions of each request
 * id. Public methods are thread-safe.
 */
public final class ServiceStandin {
    private final StandinServer mServer;
    private final FaultInjection mFaults = new FaultInjection();
    private final Map<String, AtomicInteger> mRuns = new ConcurrentHashMap<>();

    private ServiceStandin(String name) {
        mServer = StandinServer.of(name);
    }

    /** Starts a service on a free loopback port. */
    public static ServiceStandin start(String name)
            throws InterruptedException, ExecutionException {
        ServiceStandin s = new ServiceStandin(name);
        s.mServer.start(StandinServer.freeLoopbackPort(), s::serve);
        return s;
    }

    /** Returns the service's base URL. */
    public String url() {
        return mServer.url();
    }

    /** Returns the fault injection. */
    public FaultInjection faults() {
        return mFaults;
    }

    /** Returns the number of executions of a request id. */
    public int runs(String requestId) {
        AtomicInteger n = mRuns.get(requestId);
        return n == null ? 0 : n.get();
    }

    /** Returns the number of executions by request id. */
    public Map<String, AtomicInteger> allRuns() {
        return mRuns;
    }

    /** Simulates a crash: closes every connection and stops listening. */
    public void kill() throws InterruptedException, ExecutionException {
        mServer.kill();
    }

    /** Stops the server and its thread. */
    public void stop() throws InterruptedException {
        mServer.stop();
    }

    private Promise<HttpResponse> serve(HttpRequest http) {
        mFaults.countRequest();
        String id = http.getHeader(HttpHeaders.of("X-Request-Id"));
        String request =
                id == null || !id.contains(":") ? "none" : id.substring(0, id.indexOf(':'));
        mRuns.computeIfAbsent(request, k -> new AtomicInteger()).incrementAndGet();
        return http.loadBody()
                .then(
                        body -> {
                            String text =
                                    http.getMethod()
                                            + " "
                                            + http.getPathAndQuery()
                                            + " "
                                            + body.getString(StandardCharsets.UTF_8)
                                            + "\n";
                            HttpResponse r = HttpResponse.ok200().withPlainText(text).build();
                            long delay = mFaults.delayMillis();
                            return delay == 0
                                    ? Promise.of(r)
                                    : Promises.delay(Duration.ofMillis(delay), r);
                        });
    }
}
