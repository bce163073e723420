package org.forkseam.standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;

/**
 * Test double of the table service: rows with revisions and conditional transactions, by the JSON
 * gateway of the etcd v3 key-value API. Confined to one event loop.
 */
final class TableStandin {
    private static final ObjectMapper JSON = new ObjectMapper();

    private final NavigableMap<String, StoredRow> mRows = new TreeMap<>();
    private long mRevision = 1;
    private long mReads;
    private long mWrites;

    /** A row: the encoded value and the revision of the last write. */
    private record StoredRow(String value, long revision) {}

    long reads() {
        return mReads;
    }

    long writes() {
        return mWrites;
    }

    String handle(String path, byte[] body) throws IOException {
        JsonNode in = JSON.readTree(body);
        return switch (path) {
            case "/v3/kv/range" -> range(in).toString();
            case "/v3/kv/txn" -> transact(in).toString();
            default -> throw new IOException("path " + path);
        };
    }

    private ObjectNode range(JsonNode in) {
        mReads++;
        String from = decode(in.path("key").asText());
        NavigableMap<String, StoredRow> found;
        if (in.has("range_end")) {
            found = mRows.subMap(from, true, decode(in.path("range_end").asText()), false);
        } else {
            found = mRows.subMap(from, true, from, true);
        }
        long limit = in.path("limit").asLong(Long.MAX_VALUE);
        ObjectNode out = JSON.createObjectNode();
        out.putObject("header").put("revision", Long.toString(mRevision));
        ArrayNode kvs = out.putArray("kvs");
        for (Map.Entry<String, StoredRow> e : found.entrySet()) {
            if (limit-- <= 0) {
                break;
            }
            kvs.addObject()
                    .put("key", encode(e.getKey()))
                    .put("value", e.getValue().value())
                    .put("mod_revision", Long.toString(e.getValue().revision()));
        }
        return out;
    }

    private ObjectNode transact(JsonNode in) {
        mWrites++;
        boolean holds = true;
        for (JsonNode c : in.path("compare")) {
            StoredRow s = mRows.get(decode(c.path("key").asText()));
            holds &= (s == null ? 0 : s.revision()) == c.path("mod_revision").asLong();
        }
        ObjectNode out = JSON.createObjectNode().put("succeeded", holds);
        ArrayNode responses = out.putArray("responses");
        if (holds) {
            mRevision++;
            in.path("success").forEach(this::write);
        } else {
            for (JsonNode op : in.path("failure")) {
                responses.addObject().set("response_range", range(op.path("request_range")));
            }
        }
        out.putObject("header").put("revision", Long.toString(mRevision));
        return out;
    }

    private void write(JsonNode op) {
        JsonNode put = op.path("request_put");
        if (put.isObject()) {
            StoredRow s = new StoredRow(put.path("value").asText(), mRevision);
            mRows.put(decode(put.path("key").asText()), s);
        } else {
            mRows.remove(decode(op.path("request_delete_range").path("key").asText()));
        }
    }

    private static String decode(String base64) {
        return new String(Base64.getDecoder().decode(base64), StandardCharsets.UTF_8);
    }

    private static String encode(String text) {
        return Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8));
    }
}
