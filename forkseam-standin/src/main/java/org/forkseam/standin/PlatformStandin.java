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
 * Stands in for the platform: table service, object store, host list and weight store, each with
 * its own faults. Thread-safe from outside.
 */
public final class PlatformStandin {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final String OBJECTS = "/objects/";
    private static final String WEIGHTS = "/weights/";
    private static final int TOO_MANY = 429;
    private static final int NOT_MODIFIED = 304;

    private final StandinServer mServer = StandinServer.of("platform");
    private final TableStandin mTable = new TableStandin();
    private final Map<String, byte[]> mObjects = new HashMap<>();
    private final Map<String, HostEntry> mHosts = new TreeMap<>();
    private final Faults mTableFaults = new Faults();
    private final Faults mObjectFaults = new Faults();
    private final Faults mHostFaults = new Faults();
    private volatile long mHostLagMillis;
    private final AtomicInteger mWeightPermits = new AtomicInteger(Integer.MAX_VALUE);
    private String mHostsShown = "[]";

    private PlatformStandin() {}

    /** Starts a platform on a free port of the loopback. */
    public static PlatformStandin start() throws InterruptedException, ExecutionException {
        PlatformStandin p = new PlatformStandin();
        p.mServer.start(StandinServer.anyPort(), p::serve);
        return p;
    }

    /** Ends it. */
    public void stop() throws InterruptedException {
        mServer.stop();
    }

    // ---------------------------------------------------------------- for tests

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

    /** Returns the faults of the table service. */
    public Faults table() {
        return mTableFaults;
    }

    /** Returns the faults of the object store. */
    public Faults objects() {
        return mObjectFaults;
    }

    /** Returns the faults of the host list. */
    public Faults hosts() {
        return mHostFaults;
    }

    /** Makes changes of the host list show only after a while. */
    public void setHostLagMillis(long millis) {
        mHostLagMillis = millis;
    }

    /** Sets how many downloads of weights may still start. */
    public void setWeightPermits(int count) {
        mWeightPermits.set(count);
    }

    /** Puts a host in the list, or changes it; requests that come after this returns see it. */
    public void putHost(HostEntry host) {
        change(() -> mHosts.put(host.host(), host));
    }

    /** Takes a host off the list; requests that come after this returns see it. */
    public void removeHost(String host) {
        change(() -> mHosts.remove(host));
    }

    /** Waits until a change is done: a turn of the loop serves requests before it runs tasks. */
    private void change(Runnable what) {
        CompletableFuture<Void> done = new CompletableFuture<>();
        mServer.loop()
                .execute(
                        () -> {
                            what.run();
                            showHosts();
                            done.complete(null);
                        });
        done.join();
    }

    /** Returns reads the table service has served. */
    public long tableReads() {
        return ask(mTable::reads);
    }

    /** Returns transactions the table service has served. */
    public long tableWrites() {
        return ask(mTable::writes);
    }

    private long ask(LongSupplier what) {
        CompletableFuture<Long> answer = new CompletableFuture<>();
        mServer.loop().execute(() -> answer.complete(what.getAsLong()));
        return answer.join();
    }

    // ---------------------------------------------------------------- serving

    private void showHosts() {
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
        if (mHostLagMillis == 0) {
            mHostsShown = text;
        } else {
            mServer.loop().delayBackground(mHostLagMillis, () -> mHostsShown = text);
        }
    }

    private Promise<HttpResponse> serve(HttpRequest http) {
        String path = http.getPath();
        if (path.startsWith("/v3/")) {
            return faulty(mTableFaults, http, body -> table(path, body));
        }
        if (path.startsWith(OBJECTS)) {
            return faulty(mObjectFaults, http, body -> object(http.getMethod(), path, body));
        }
        if (path.startsWith(WEIGHTS)) {
            return weights().toPromise();
        }
        return faulty(mHostFaults, http, body -> hosts(http));
    }

    private HttpResponse hosts(HttpRequest http) {
        String etag = '"' + Integer.toHexString(mHostsShown.hashCode()) + '"';
        if (etag.equals(http.getHeader(HttpHeaders.IF_NONE_MATCH))) {
            return HttpResponse.ofCode(NOT_MODIFIED).build();
        }
        return HttpResponse.ok200()
                .withHeader(HttpHeaders.ETAG, etag)
                .withJson(mHostsShown)
                .build();
    }

    /** Answers one request whose faults have been seen to. */
    private interface Handler {
        HttpResponse handle(byte[] body) throws IOException;
    }

    private Promise<HttpResponse> faulty(Faults faults, HttpRequest http, Handler handler) {
        faults.onRequest();
        if (faults.isDown()) {
            return HttpResponse.ofCode(503).toPromise();
        }
        return http.loadBody()
                .then(
                        body -> {
                            HttpResponse r = handler.handle(body.getArray());
                            boolean write = http.getPath().endsWith("/txn");
                            if (write && faults.takeLostAnswer()) {
                                return new SettablePromise<HttpResponse>();
                            }
                            return late(r, faults.delayMillis());
                        });
    }

    private static Promise<HttpResponse> late(HttpResponse r, long millis) {
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
            return HttpResponse.ofCode(TOO_MANY).withHeader(HttpHeaders.RETRY_AFTER, "1").build();
        }
        return HttpResponse.ok200().build();
    }
}
