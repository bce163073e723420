package org.forkseam.standin;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

import io.activej.http.HttpHeaders;
import io.activej.http.HttpMethod;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.promise.Promise;
import io.activej.promise.Promises;
import io.activej.promise.SettablePromise;

import org.forkseam.core.member.HostEntry;

import java.io.IOException;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.LongSupplier;

/**
 * Test double of the platform's table service, object store, host list and weight store, with fault
 * injection for the first three. Public methods are thread-safe.
 */
public final class PlatformStandin {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final String OBJECTS = "/objects/";
    private static final String WEIGHTS = "/weights/";
    private static final int TOO_MANY_REQUESTS = 429;
    private static final int NOT_MODIFIED = 304;

    private final StandinServer mServer = StandinServer.of("platform");
    private final TableStandin mTable = new TableStandin();
    private final Map<String, byte[]> mObjects = new HashMap<>();
    private final Map<String, HostEntry> mHosts = new TreeMap<>();
    private final FaultInjection mTableFaults = new FaultInjection();
    private final FaultInjection mObjectFaults = new FaultInjection();
    private final FaultInjection mHostFaults = new FaultInjection();
    private volatile long mHostListDelayMillis;
    private final AtomicInteger mWeightPermits = new AtomicInteger(Integer.MAX_VALUE);
    private String mPublishedHosts = "[]";

    private PlatformStandin() {}

    /** Starts a platform on a free loopback port. */
    public static PlatformStandin start() throws InterruptedException, ExecutionException {
        PlatformStandin p = new PlatformStandin();
        p.mServer.start(StandinServer.freeLoopbackPort(), p::serve);
        return p;
    }

    /** Stops the server. */
    public void stop() throws InterruptedException {
        mServer.stop();
    }

    // ---------------------------------------------------------------- test controls

    /** Returns the table service's URL. */
    public String tableUrl() {
        return mServer.url();
    }

    /** Returns the URL of a bucket in the object store. */
    public String bucketUrl() {
        return mServer.url() + "/objects/forkseam";
    }

    /** Returns the host list's URL. */
    public String hostsUrl() {
        return mServer.url() + "/hosts";
    }

    /** Returns the weight store's URL. */
    public String weightsUrl() {
        return mServer.url() + "/weights";
    }

    /** Returns the fault injection of the table service. */
    public FaultInjection tableFaults() {
        return mTableFaults;
    }

    /** Returns the fault injection of the object store. */
    public FaultInjection objectStoreFaults() {
        return mObjectFaults;
    }

    /** Returns the fault injection of the host list. */
    public FaultInjection hostListFaults() {
        return mHostFaults;
    }

    /** Sets the delay until changes of the host list become visible. */
    public void setHostListDelayMillis(long millis) {
        mHostListDelayMillis = millis;
    }

    /** Sets the number of weight downloads that are still granted. */
    public void setWeightPermits(int count) {
        mWeightPermits.set(count);
    }

    /** Adds or replaces a host; visible to requests sent after this method returns. */
    public void putHost(HostEntry host) {
        changeHosts(() -> mHosts.put(host.host(), host));
    }

    /** Removes a host; visible to requests sent after this method returns. */
    public void removeHost(String host) {
        changeHosts(() -> mHosts.remove(host));
    }

    /** Applies a change and waits for it, because the loop serves requests before tasks. */
    private void changeHosts(Runnable change) {
        CompletableFuture<Void> done = new CompletableFuture<>();
        mServer.loop()
                .execute(
                        () -> {
                            change.run();
                            publishHosts();
                            done.complete(null);
                        });
        done.join();
    }

    /** Returns the number of reads served by the table service. */
    public long tableReads() {
        return readOnLoop(mTable::reads);
    }

    /** Returns the number of transactions served by the table service. */
    public long tableWrites() {
        return readOnLoop(mTable::writes);
    }

    private long readOnLoop(LongSupplier value) {
        CompletableFuture<Long> result = new CompletableFuture<>();
        mServer.loop().execute(() -> result.complete(value.getAsLong()));
        return result.join();
    }

    // ---------------------------------------------------------------- serving

    private void publishHosts() {
        ArrayNode list = JSON.createArrayNode();
        for (HostEntry h : mHosts.values()) {
            ObjectNode group = list.addObject();
            group.putArray("targets").add(h.address());
            ObjectNode labels = group.putObject("labels");
            h.labels().asMap().forEach(labels::put);
            labels.put("host", h.host());
            labels.put("state", h.leaving() ? "leaving" : "live");
        }
        String text = list.toString();
        if (mHostListDelayMillis == 0) {
            mPublishedHosts = text;
        } else {
            mServer.loop().delayBackground(mHostListDelayMillis, () -> mPublishedHosts = text);
        }
    }

    private Promise<HttpResponse> serve(HttpRequest http) {
        String path = http.getPath();
        if (path.startsWith("/v3/")) {
            return handleWithFaults(mTableFaults, http, body -> table(path, body));
        }
        if (path.startsWith(OBJECTS)) {
            return handleWithFaults(
                    mObjectFaults, http, body -> object(http.getMethod(), path, body));
        }
        if (path.startsWith(WEIGHTS)) {
            return weights().toPromise();
        }
        return handleWithFaults(mHostFaults, http, body -> hosts(http));
    }

    private HttpResponse hosts(HttpRequest http) {
        String etag = '"' + Integer.toHexString(mPublishedHosts.hashCode()) + '"';
        if (etag.equals(http.getHeader(HttpHeaders.IF_NONE_MATCH))) {
            return HttpResponse.ofCode(NOT_MODIFIED).build();
        }
        return HttpResponse.ok200()
                .withHeader(HttpHeaders.ETAG, etag)
                .withJson(mPublishedHosts)
                .build();
    }

    /** Handles a request after fault injection. */
    private interface Handler {
        HttpResponse handle(byte[] body) throws IOException;
    }

    private Promise<HttpResponse> handleWithFaults(
            FaultInjection faults, HttpRequest http, Handler handler) {
        faults.countRequest();
        if (faults.isDown()) {
            return HttpResponse.ofCode(503).toPromise();
        }
        return http.loadBody()
                .then(
                        body -> {
                            HttpResponse r = handler.handle(body.getArray());
                            boolean write = http.getPath().endsWith("/txn");
                            if (write && faults.consumeLostResponse()) {
                                return new SettablePromise<HttpResponse>();
                            }
                            return delayed(r, faults.delayMillis());
                        });
    }

    private static Promise<HttpResponse> delayed(HttpResponse r, long millis) {
        return millis == 0 ? Promise.of(r) : Promises.delay(Duration.ofMillis(millis), r);
    }

    private HttpResponse table(String path, byte[] body) throws IOException {
        return HttpResponse.ok200().withJson(mTable.handle(path, body)).build();
    }

    private HttpResponse object(HttpMethod method, String path, byte[] body) {
        String key = path.substring(OBJECTS.length());
        if (method == HttpMethod.PUT) {
            mObjects.put(key, body);
            return HttpResponse.ok200().build();
        }
        byte[] data = method == HttpMethod.DELETE ? mObjects.remove(key) : mObjects.get(key);
        return data == null
                ? HttpResponse.ofCode(404).build()
                : HttpResponse.ok200().withBody(data).build();
    }

    private HttpResponse weights() {
        if (mWeightPermits.getAndUpdate(n -> Math.max(0, n - 1)) <= 0) {
            return HttpResponse.ofCode(TOO_MANY_REQUESTS)
                    .withHeader(HttpHeaders.RETRY_AFTER, "1")
                    .build();
        }
        return HttpResponse.ok200().build();
    }
}
