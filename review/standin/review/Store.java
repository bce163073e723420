package review;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;

/** The platform's store: rows-get, rows-parts, rows-feed and rows-tx, without faults. */
final class Store {
    private final HttpServer mServer;
    private final Map<String, TreeMap<String, Row>> mTables = new HashMap<>();
    private long mVersion = 1;
    private volatile long mDelayMillis;

    private record Row(String table, String part, String key, String value, long ver) {
        String json() {
            return "{\"table\":"
                    + Json.quote(table)
                    + ",\"part\":"
                    + Json.quote(part)
                    + ",\"private-key\":"
                    + Json.quote(key)
                    + (value == null ? ",\"gone\":true" : ",\"value\":" + Json.quote(value))
                    + ",\"ver\":"
                    + ver
                    + "}";
        }
    }

    Store(String ip) throws IOException {
        mServer = HttpServer.create(new InetSocketAddress(ip, 0), 0);
        mServer.setExecutor(
                Executors.newCachedThreadPool(
                        r -> {
                            Thread t = new Thread(r, "store");
                            t.setDaemon(true);
                            return t;
                        }));
        mServer.createContext("/", this::serve);
        mServer.start();
    }

    String address() {
        return mServer.getAddress().getAddress().getHostAddress()
                + ":"
                + mServer.getAddress().getPort();
    }

    /** Delays each answer. */
    void setDelayMillis(long millis) {
        mDelayMillis = millis;
    }

    synchronized void put(String table, String key, String text) {
        String value =
                Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8));
        mVersion++;
        rows(table).put(" " + key, new Row(table, "", key, value, mVersion));
        notifyAll();
    }

    private TreeMap<String, Row> rows(String table) {
        return mTables.computeIfAbsent(table, t -> new TreeMap<>());
    }

    private void serve(HttpExchange x) throws IOException {
        String body = new String(x.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
        String path = x.getRequestURI().getPath();
        Map<String, String> query = query(x.getRequestURI().getRawQuery());
        int status = 200;
        String answer;
        try {
            switch (path) {
                case "/v1/rows-get" -> answer = get(query);
                case "/v1/rows-parts" -> answer = "{\"parts\":[\"\"]," + now() + "}";
                case "/v1/rows-feed" -> answer = feed(query);
                case "/v1/rows-tx" -> {
                    answer = transact(body);
                    status = answer.startsWith("{\"rows\"") ? 412 : 200;
                }
                default -> {
                    answer = "{}";
                    status = 404;
                }
            }
            if (mDelayMillis > 0) {
                Thread.sleep(mDelayMillis);
            }
        } catch (InterruptedException e) {
            return;
        }
        byte[] bytes = answer.getBytes(StandardCharsets.UTF_8);
        x.getResponseHeaders().set("Content-Type", "application/json");
        x.sendResponseHeaders(status, bytes.length);
        x.getResponseBody().write(bytes);
        x.close();
    }

    private static Map<String, String> query(String raw) {
        Map<String, String> m = new HashMap<>();
        for (String p : raw == null ? new String[0] : raw.split("&")) {
            int eq = p.indexOf('=');
            m.put(p.substring(0, eq), URLDecoder.decode(p.substring(eq + 1), StandardCharsets.UTF_8));
        }
        return m;
    }

    private String now() {
        return "\"ver\":" + mVersion + ",\"now_ms\":" + System.nanoTime() / 1_000_000;
    }

    private synchronized String get(Map<String, String> q) {
        String part = q.getOrDefault("part", "");
        String from = q.getOrDefault("from", "");
        int limit = Math.min(500, Integer.parseInt(q.getOrDefault("limit", "500")));
        List<String> out = new ArrayList<>();
        boolean more = false;
        for (Row r : rows(q.get("table")).values()) {
            if (r.value() == null || !r.part().equals(part) || r.key().compareTo(from) < 0) {
                continue;
            }
            if (out.size() == limit) {
                more = true;
                break;
            }
            out.add(r.json());
        }
        return "{\"rows\":[" + String.join(",", out) + "],\"more\":" + more + "," + now() + "}";
    }

    private synchronized String feed(Map<String, String> q) throws InterruptedException {
        long after = Long.parseLong(q.get("after-revision"));
        long until =
                System.currentTimeMillis() + Long.parseLong(q.getOrDefault("wait-ms", "0"));
        while (true) {
            List<Row> changed =
                    rows(q.get("table")).values().stream()
                            .filter(r -> r.ver() > after)
                            .sorted((a, b) -> Long.compare(a.ver(), b.ver()))
                            .toList();
            long left = until - System.currentTimeMillis();
            if (!changed.isEmpty() || left <= 0) {
                return "{\"rows\":["
                        + String.join(",", changed.stream().map(Row::json).toList())
                        + "],"
                        + now()
                        + "}";
            }
            wait(left);
        }
    }

    @SuppressWarnings("unchecked")
    private synchronized String transact(String body) {
        Map<String, Object> tx = (Map<String, Object>) Json.read(body);
        List<String> current = new ArrayList<>();
        boolean holds = true;
        for (Map<String, Object> e : entries(tx, "expected-revision")) {
            Row r = rows((String) e.get("table")).get(e.get("part") + " " + e.get("private-key"));
            long ver = r == null || r.value() == null ? 0 : r.ver();
            holds &= ver == ((Double) e.get("ver")).longValue();
            if (ver > 0) {
                current.add(r.json());
            }
        }
        if (!holds) {
            return "{\"rows\":[" + String.join(",", current) + "]," + now() + "}";
        }
        mVersion++;
        for (String kind : List.of("put", "remove")) {
            for (Map<String, Object> e : entries(tx, kind)) {
                String table = (String) e.get("table");
                String part = (String) e.get("part");
                String key = (String) e.get("private-key");
                String value = (String) e.get("value");
                rows(table).put(part + " " + key, new Row(table, part, key, value, mVersion));
            }
        }
        notifyAll();
        return "{" + now() + "}";
    }

    @SuppressWarnings("unchecked")
    private static List<Map<String, Object>> entries(Map<String, Object> tx, String kind) {
        return (List<Map<String, Object>>) tx.getOrDefault(kind, List.of());
    }
}
