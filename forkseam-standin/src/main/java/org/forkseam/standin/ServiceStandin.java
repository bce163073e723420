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
 * Stands in for a plain service: answers any method and path with what it was asked, and counts how
 * often each request id ran. Thread-safe from outside.
 */
public final class ServiceStandin {
    private final StandinServer mServer;
    private final Faults mFaults = new Faults();
    private final Map<String, AtomicInteger> mRuns = new ConcurrentHashMap<>();

    private ServiceStandin(String name) {
        mServer = StandinServer.of(name);
    }

    /** Starts a service on a free port of the loopback. */
    public static ServiceStandin start(String name)
            throws InterruptedException, ExecutionException {
        ServiceStandin s = new ServiceStandin(name);
        s.mServer.start(StandinServer.anyPort(), s::serve);
        return s;
    }

    /** Returns the service's base URL. */
    public String url() {
        return mServer.url();
    }

    /** Returns the faults. */
    public Faults faults() {
        return mFaults;
    }

    /** Returns how often the requests of one id were run. */
    public int runs(String requestId) {
        AtomicInteger n = mRuns.get(requestId);
        return n == null ? 0 : n.get();
    }

    /** Returns how often each request id was run. */
    public Map<String, AtomicInteger> allRuns() {
        return mRuns;
    }

    /** Crashes the service. */
    public void kill() throws InterruptedException, ExecutionException {
        mServer.kill();
    }

    /** Ends the service's thread. */
    public void stop() throws InterruptedException {
        mServer.stop();
    }

    private Promise<HttpResponse> serve(HttpRequest http) {
        mFaults.onRequest();
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
