package org.forkseam.daemon.admin;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.type.TypeReference;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

import io.activej.eventloop.Eventloop;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpMethod;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.http.HttpServer;
import io.activej.promise.Promise;

import org.forkseam.core.cfg.ConfigChange;
import org.forkseam.core.cfg.Finding;
import org.forkseam.core.cfg.FleetConfig;
import org.forkseam.core.kernel.Service;
import org.forkseam.core.util.Clock;
import org.forkseam.daemon.share.ConfigWriter;
import org.forkseam.daemon.share.Fleet;
import org.forkseam.daemon.share.FleetSync;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

/**
 * Serves the admin HTTP API. Health endpoints are public; all others require a bearer key. Not
 * thread-safe; requests are handled on the event loop.
 *
 * @since 0.1
 */
public final class AdminApi implements Service {
    /** Name of the service. */
    public static final String NAME = "admin";

    private static final Logger LOG = LoggerFactory.getLogger(AdminApi.class);
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final String BEARER_PREFIX = "Bearer ";
    private static final int MAX_BODY_BYTES = 4 << 20;
    private static final long QUERY_TIMEOUT_MILLIS = 1_000;

    private final Eventloop mLoop;
    private final Clock mClock;
    private final Config mConfig;
    private final Dependencies mDependencies;
    private final DecisionExplainer mExplainer;
    private HttpServer mServer;

    /**
     * Configuration of the admin API.
     *
     * @param host name of this daemon's host
     * @param listen address to listen on
     * @param key bearer key
     */
    public record Config(String host, InetSocketAddress listen, String key) {}

    /** Services that the admin API reads and controls. */
    public record Dependencies(
            Fleet fleet,
            FleetSync sync,
            ConfigWriter author,
            Supplier<Map<String, Object>> dump,
            Supplier<String> metrics,
            BooleanSupplier ready,
            Runnable onUnauthorized) {}

    private AdminApi(
            Eventloop loop,
            Clock clock,
            Config config,
            Dependencies dependencies,
            DecisionExplainer explainer) {
        mLoop = loop;
        mClock = clock;
        mConfig = config;
        mDependencies = dependencies;
        mExplainer = explainer;
    }

    /** Creates the admin API of one daemon. */
    public static AdminApi of(
            Eventloop loop,
            Clock clock,
            Config config,
            Dependencies dependencies,
            DecisionExplainer explainer) {
        return new AdminApi(loop, clock, config, dependencies, explainer);
    }

    // ---------------------------------------------------------------- lifecycle

    @Override
    public String name() {
        return NAME;
    }

    @Override
    public List<String> dependencies() {
        return List.of(FleetSync.NAME);
    }

    @Override
    public CompletableFuture<Void> start() {
        return mLoop.submit(
                () -> {
                    mServer =
                            HttpServer.builder(mLoop, this::serve)
                                    .withListenAddress(mConfig.listen())
                                    .withMaxBodySize(MAX_BODY_BYTES)
                                    .build();
                    mServer.listen();
                    LOG.info("event=operators-listen address={}", address());
                });
    }

    @Override
    public CompletableFuture<Void> stop() {
        CompletableFuture<Void> closed = new CompletableFuture<>();
        mLoop.execute(() -> mServer.close().whenComplete((v, e) -> closed.complete(null)));
        return closed;
    }

    /** Returns the bound address. */
    public InetSocketAddress address() {
        return mServer.getBoundAddresses().get(0);
    }

    // ---------------------------------------------------------------- requests

    private Promise<HttpResponse> serve(HttpRequest http) {
        String path = http.getPath();
        if (path.equals("/healthz")) {
            return HttpResponse.ok200().withPlainText("ok\n").toPromise();
        }
        if (path.equals("/readyz")) {
            boolean ready = mDependencies.ready().getAsBoolean();
            return HttpResponse.ofCode(ready ? 200 : 503)
                    .withPlainText(ready ? "ready\n" : "not ready\n")
                    .toPromise();
        }
        if (!isAuthorized(http)) {
            mDependencies.onUnauthorized().run();
            return error(401, "wrong or missing bearer key; nothing was changed");
        }
        if (http.getMethod() == HttpMethod.POST) {
            return http.loadBody(MAX_BODY_BYTES).then(b -> post(path, b.getArray()));
        }
        return get(path);
    }

    private boolean isAuthorized(HttpRequest http) {
        String given = http.getHeader(HttpHeaders.AUTHORIZATION);
        if (given == null || !given.startsWith(BEARER_PREFIX)) {
            return false;
        }
        byte[] a = given.substring(BEARER_PREFIX.length()).getBytes(StandardCharsets.UTF_8);
        return MessageDigest.isEqual(a, mConfig.key().getBytes(StandardCharsets.UTF_8));
    }

    private Promise<HttpResponse> get(String path) {
        String explainPrefix = "/v1/explain/";
        if (path.startsWith(explainPrefix)) {
            return jsonPromise(mExplainer.explain(path.substring(explainPrefix.length())));
        }
        String configAtPrefix = "/v1/config/at/";
        if (path.startsWith(configAtPrefix)) {
            return configAt(path.substring(configAtPrefix.length()));
        }
        return switch (path) {
            case "/metrics" ->
                    HttpResponse.ok200().withPlainText(mDependencies.metrics().get()).toPromise();
            case "/v1/dump" -> json(200, mDependencies.dump().get());
            case "/v1/config" -> json(200, describe(mDependencies.fleet().config()));
            case "/v1/config/history" -> json(200, history());
            case "/v1/config/status" ->
                    jsonPromise(
                            mDependencies
                                    .sync()
                                    .versions(QUERY_TIMEOUT_MILLIS)
                                    .thenApply(this::status));
            case "/v1/fleet" -> json(200, mDependencies.fleet().dump(mClock.nowMillis()));
            default ->
                    error(
                            404,
                            "unknown path "
                                    + path
                                    + "; allowed: /metrics, /v1/dump, /v1/config,"
                                    + " /v1/config/history, /v1/config/status, /v1/fleet,"
                                    + " /v1/explain/REQUEST-ID");
        };
    }

    private Promise<HttpResponse> configAt(String version) {
        if (!version.matches("[0-9]{1,12}")) {
            return error(400, "invalid version " + version + "; allowed: a non-negative integer");
        }
        return Promise.ofCompletionStage(mDependencies.author().versionAt(Long.parseLong(version)))
                .then(
                        c ->
                                c.isPresent()
                                        ? json(200, describe(c.get()))
                                        : error(404, "version " + version + " not found"));
    }

    private static Map<String, Object> describe(FleetConfig config) {
        Map<String, Object> m = new LinkedHashMap<>();
        m.put("version", config.version());
        m.put("hash", config.hash());
        m.put("sections", config.sections());
        return m;
    }

    private List<Map<String, Object>> history() {
        return mDependencies.fleet().log().history().stream().map(AdminApi::describe).toList();
    }

    private static Map<String, Object> describe(ConfigChange c) {
        Map<String, Object> m = new LinkedHashMap<>();
        m.put("version", c.version());
        m.put("author", c.author());
        m.put("at_ms", c.atMillis());
        m.put("note", c.note());
        m.put("set", c.set());
        m.put("removed", c.removed());
        return m;
    }

    private Map<String, Object> status(Map<String, Long> versions) {
        Map<String, Object> m = new LinkedHashMap<>();
        m.put("version", mDependencies.fleet().config().version());
        m.put("age_ms", mClock.nowMillis() - mDependencies.fleet().configAtMillis());
        m.put("daemons", versions);
        m.put(
                "unreachable",
                mDependencies.fleet().view().hosts().stream()
                        .map(h -> h.host())
                        .filter(h -> !versions.containsKey(h))
                        .toList());
        return m;
    }

    // ---------------------------------------------------------------- changes

    private Promise<HttpResponse> post(String path, byte[] body) {
        if (!path.equals("/v1/config/changes")) {
            return error(404, "unknown path " + path + "; allowed: /v1/config/changes");
        }
        ConfigWriter.Request request;
        try {
            request = parseRequest(JSON.readTree(body));
        } catch (IOException | IllegalArgumentException e) {
            return error(400, "invalid request body: " + e.getMessage() + "; nothing was changed");
        }
        return Promise.ofCompletionStage(mDependencies.author().apply(request))
                .then(this::toResponse);
    }

    private static ConfigWriter.Request parseRequest(JsonNode n) {
        JsonNode base = n.path("base");
        Map<String, Map<String, String>> set =
                JSON.convertValue(
                        n.path("set").isObject() ? n.path("set") : JSON.createObjectNode(),
                        new TypeReference<>() {});
        Set<String> removed =
                JSON.convertValue(
                        n.path("removed").isArray() ? n.path("removed") : JSON.createArrayNode(),
                        new TypeReference<>() {});
        String changeId = n.path("change_id").asText();
        if (changeId.isEmpty()) {
            throw new IllegalArgumentException("change_id is missing; allowed: a unique string");
        }
        return new ConfigWriter.Request(
                base.isNumber() ? OptionalLong.of(base.asLong()) : OptionalLong.empty(),
                changeId,
                n.path("author").asText("unknown"),
                n.path("note").asText(),
                set,
                removed,
                n.path("dry_run").asBoolean());
    }

    private Promise<HttpResponse> toResponse(ConfigWriter.Result result) {
        Map<String, Object> m = new LinkedHashMap<>();
        if (result instanceof ConfigWriter.Result.Accepted a) {
            m.put("result", "accepted");
            m.put("version", a.version());
            m.put("findings", toStrings(a.findings()));
            return json(200, m);
        }
        if (result instanceof ConfigWriter.Result.Invalid i) {
            m.put("result", "invalid");
            m.put("findings", toStrings(i.findings()));
            return json(422, m);
        }
        if (result instanceof ConfigWriter.Result.Conflict c) {
            m.put("result", "conflict");
            m.put("latest", c.latest());
            m.put("others", c.others().stream().map(AdminApi::describe).toList());
            return json(409, m);
        }
        m.put("result", "unknown");
        m.put("why", ((ConfigWriter.Result.Unknown) result).why());
        return json(503, m);
    }

    private static List<String> toStrings(List<Finding> findings) {
        return findings.stream().map(Finding::toString).toList();
    }

    // ---------------------------------------------------------------- internals

    private static <T> Promise<HttpResponse> jsonPromise(CompletableFuture<T> value) {
        return Promise.ofCompletionStage(value).then(v -> json(200, v));
    }

    private static Promise<HttpResponse> json(int status, Object value) {
        try {
            String text = JSON.writerWithDefaultPrettyPrinter().writeValueAsString(value);
            return HttpResponse.ofCode(status).withJson(text + "\n").toPromise();
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("response cannot be serialized", e);
        }
    }

    private static Promise<HttpResponse> error(int status, String message) {
        return json(status, Map.of("error", message));
    }
}
