package org.forkseam.platform.http;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

import io.activej.http.HttpMethod;

import org.forkseam.platform.PlatformException;
import org.forkseam.platform.Row;
import org.forkseam.platform.TableService;
import org.forkseam.platform.TxnResult;
import org.forkseam.platform.Write;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;

/**
 * Table service client for the JSON gateway of the etcd v3 key-value API: {@code /v3/kv/range} and
 * {@code /v3/kv/txn} with comparisons of the modification revision. Confined to the client's event
 * loop.
 *
 * @since 0.1
 */
public final class HttpTableService implements TableService {
    private static final String SERVICE = "table service";

    private final PlatformHttpClient mHttp;
    private final String mUrl;

    private HttpTableService(PlatformHttpClient http, String url) {
        mHttp = http;
        mUrl = url;
    }

    /** Creates a client of the service at a base URL. */
    public static HttpTableService of(PlatformHttpClient http, String url) {
        return new HttpTableService(http, url);
    }

    @Override
    public CompletableFuture<Optional<Row>> get(String key) {
        ObjectNode q = PlatformHttpClient.JSON.createObjectNode().put("key", encode(key));
        return range(q).thenApply(rows -> rows.stream().findFirst());
    }

    @Override
    public CompletableFuture<List<Row>> scan(String prefix, String after, int limit) {
        String from = after.isEmpty() ? prefix : after + '\0';
        ObjectNode q =
                PlatformHttpClient.JSON
                        .createObjectNode()
                        .put("key", encode(from))
                        .put("range_end", encode(prefixEnd(prefix)))
                        .put("limit", Integer.toString(limit));
        return range(q);
    }

    @Override
    public CompletableFuture<TxnResult> transact(List<Write> writes) {
        byte[] body = bytes(transaction(writes));
        return mHttp.send(SERVICE, HttpMethod.POST, mUrl + "/v3/kv/txn", body)
                .thenApply(HttpTableService::parse)
                .thenApply(HttpTableService::result)
                .exceptionally(e -> new TxnResult.Unknown(e.toString()));
    }

    private static ObjectNode transaction(List<Write> writes) {
        ObjectNode txn = PlatformHttpClient.JSON.createObjectNode();
        ArrayNode compare = txn.putArray("compare");
        ArrayNode success = txn.putArray("success");
        ArrayNode failure = txn.putArray("failure");
        for (Write w : writes) {
            String key = encode(w.key());
            w.expectedRevision()
                    .ifPresent(
                            r ->
                                    compare.addObject()
                                            .put("key", key)
                                            .put("target", "MOD")
                                            .put("result", "EQUAL")
                                            .put("mod_revision", Long.toString(r)));
            if (w.value().isPresent()) {
                success.addObject()
                        .putObject("request_put")
                        .put("key", key)
                        .put("value", encode(w.value().get()));
            } else {
                success.addObject().putObject("request_delete_range").put("key", key);
            }
            failure.addObject().putObject("request_range").put("key", key);
        }
        return txn;
    }

    private static TxnResult result(JsonNode answer) {
        if (answer.path("succeeded").asBoolean()) {
            return new TxnResult.Applied(answer.path("header").path("revision").asLong());
        }
        List<Row> rows = new ArrayList<>();
        for (JsonNode r : answer.path("responses")) {
            rows.addAll(rows(r.path("response_range")));
        }
        return new TxnResult.Conflict(rows);
    }

    private CompletableFuture<List<Row>> range(ObjectNode query) {
        return mHttp.send(SERVICE, HttpMethod.POST, mUrl + "/v3/kv/range", bytes(query))
                .thenApply(HttpTableService::parse)
                .thenApply(HttpTableService::rows);
    }

    private static List<Row> rows(JsonNode range) {
        List<Row> rows = new ArrayList<>();
        for (JsonNode kv : range.path("kvs")) {
            rows.add(
                    new Row(
                            decode(kv.path("key").asText()),
                            decode(kv.path("value").asText()),
                            kv.path("mod_revision").asLong()));
        }
        return rows;
    }

    private static JsonNode parse(PlatformHttpClient.Response answer) {
        try {
            if (answer.status() != 200) {
                throw new PlatformException(SERVICE, "status " + answer.status());
            }
            return PlatformHttpClient.JSON.readTree(answer.body());
        } catch (IOException e) {
            throw new CompletionException(e);
        }
    }

    private static byte[] bytes(ObjectNode node) {
        return node.toString().getBytes(StandardCharsets.UTF_8);
    }

    private static String prefixEnd(String prefix) {
        int last = prefix.length() - 1;
        return prefix.substring(0, last) + (char) (prefix.charAt(last) + 1);
    }

    private static String encode(String text) {
        return Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8));
    }

    private static String decode(String base64) {
        return new String(Base64.getDecoder().decode(base64), StandardCharsets.UTF_8);
    }
}
