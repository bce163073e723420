package review2;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The platform's metadata store: rows, transactions and the feed, all linearizable. */
final class Store {
    private static final long NORMAL_MILLIS = 4;

    private final ServerSocket mListener;
    private final List<Socket> mFirst = new ArrayList<>();
    private final Map<String, Row> mRows = new TreeMap<>();
    private final List<Row> mHistory = new ArrayList<>();
    private long mVer = 1;
    private volatile long mAnswerMillis = NORMAL_MILLIS;

    /** A row, or its removal if the value is null. */
    private record Row(String table, String part, String key, String value, long ver) {
        Map<String, Object> json() {
            Map<String, Object> m = new LinkedHashMap<>();
            m.put("table", table);
            m.put("part", part);
            m.put("private-key", key);
            m.put("ver", ver);
            if (value == null) {
                m.put("gone", true);
            } else {
                m.put("value", value);
            }
            return m;
        }
    }

    Store(String ip, int port) throws IOException {
        mListener = new ServerSocket(port, 200, InetAddress.getByName(ip));
        Lab.thread(() -> accept(mListener, mFirst));
    }

    /** Serves at another address too; returns it. */
    String listenAlso(String ip) throws IOException {
        int port = mListener.getLocalPort();
        ServerSocket other = new ServerSocket(port, 200, InetAddress.getByName(ip));
        Lab.thread(() -> accept(other, new ArrayList<>()));
        Record.line("store: serves at %s:%d too", ip, port);
        return ip + ":" + port;
    }

    /** Stops serving at the first address. */
    void leaveFirstAddress() throws IOException {
        mListener.close();
        synchronized (mFirst) {
            for (Socket s : mFirst) {
                s.close();
            }
        }
        Record.line("store: serves at %s no more", address());
    }

    String address() {
        return mListener.getInetAddress().getHostAddress() + ":" + mListener.getLocalPort();
    }

    /** Sets how many times as long as usual each answer takes. */
    void setSlow(int times) {
        mAnswerMillis = NORMAL_MILLIS * times;
    }

    private static String id(String table, String part, String key) {
        return table + '\0' + part + '\0' + key;
    }

    /** Writes a row as the operator or a server does. */
    synchronized void put(String table, String key, Object json) {
        String text = Json.write(json);
        String value =
                Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8));
        set(table, "", key, value, ++mVer);
        notifyAll();
        Record.line("store: %s/%s written, ver %d", table, key, mVer);
    }

    private void set(String table, String part, String key, String value, long ver) {
        Row row = new Row(table, part, key, value, ver);
        mHistory.add(row);
        if (value == null) {
            mRows.remove(id(table, part, key));
        } else {
            mRows.put(id(table, part, key), row);
        }
    }

    private void accept(ServerSocket listener, List<Socket> accepted) {
        while (true) {
            try {
                Socket s = listener.accept();
                synchronized (accepted) {
                    accepted.add(s);
                }
                Lab.thread(() -> serve(s));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket s) {
        try (Http http = new Http(s)) {
            while (true) {
                var head = http.head();
                if (head.isEmpty()) {
                    return;
                }
                byte[] body = http.body(head.get());
                Thread.sleep(mAnswerMillis);
                String[] first = head.get().first().split(" ");
                Object[] reply = handle(first[1], new String(body, StandardCharsets.UTF_8));
                byte[] out = Json.write(reply[1]).getBytes(StandardCharsets.UTF_8);
                http.write(
                        "HTTP/1.1 "
                                + reply[0]
                                + " X\r\nContent-Type: application/json\r\nContent-Length: "
                                + out.length
                                + "\r\n\r\n",
                        out);
            }
        } catch (IOException | InterruptedException e) {
            // the router has closed the connection
        }
    }

    private Object[] handle(String uri, String body) throws InterruptedException {
        int query = uri.indexOf('?');
        Map<String, String> q = new HashMap<>();
        if (query >= 0) {
            for (String p : uri.substring(query + 1).split("&")) {
                int eq = p.indexOf('=');
                q.put(
                        p.substring(0, eq),
                        URLDecoder.decode(p.substring(eq + 1), StandardCharsets.UTF_8));
            }
        }
        return switch (query < 0 ? uri : uri.substring(0, query)) {
            case "/v1/rows-get" -> get(q);
            case "/v1/rows-feed" -> feed(q);
            case "/v1/rows-tx" -> transact(body);
            default -> new Object[] {404, Map.of()};
        };
    }

    private Map<String, Object> reply(List<Map<String, Object>> rows, boolean more) {
        Map<String, Object> m = new LinkedHashMap<>();
        m.put("rows", rows);
        m.put("more", more);
        m.put("ver", mVer);
        m.put("now_ms", Record.millis());
        return m;
    }

    private synchronized Object[] get(Map<String, String> q) {
        List<Map<String, Object>> rows = new ArrayList<>();
        int limit = Integer.parseInt(q.getOrDefault("limit", "500"));
        boolean more = false;
        for (Row r : mRows.values()) {
            boolean wanted =
                    r.table().equals(q.get("table"))
                            && r.part().equals(q.getOrDefault("part", ""))
                            && r.key().compareTo(q.getOrDefault("from", "")) >= 0;
            if (wanted && rows.size() == limit) {
                more = true;
                break;
            }
            if (wanted) {
                rows.add(r.json());
            }
        }
        return new Object[] {200, reply(rows, more)};
    }

    private synchronized Object[] feed(Map<String, String> q) throws InterruptedException {
        long after = Long.parseLong(q.get("after-revision"));
        long until = Record.millis() + Long.parseLong(q.getOrDefault("wait-ms", "0"));
        while (true) {
            Map<String, Row> changed = new LinkedHashMap<>();
            for (Row r : mHistory) {
                if (r.ver() > after && r.table().equals(q.get("table"))) {
                    changed.remove(id(r.table(), r.part(), r.key()));
                    changed.put(id(r.table(), r.part(), r.key()), r);
                }
            }
            long left = until - Record.millis();
            if (!changed.isEmpty() || left <= 0) {
                return new Object[] {
                    200, reply(changed.values().stream().map(Row::json).toList(), false)
                };
            }
            wait(left);
        }
    }

    @SuppressWarnings("unchecked")
    private synchronized Object[] transact(String body) {
        Map<String, Object> tx = (Map<String, Object>) Json.read(body);
        List<Map<String, Object>> current = new ArrayList<>();
        boolean holds = true;
        for (Object o : (List<Object>) tx.getOrDefault("expected-revision", List.of())) {
            Map<String, Object> e = (Map<String, Object>) o;
            Row r = mRows.get(idOf(e));
            holds &= (r == null ? 0 : r.ver()) == (Long) e.get("ver");
            if (r != null) {
                current.add(r.json());
            }
        }
        if (!holds) {
            return new Object[] {412, reply(current, false)};
        }
        mVer++;
        for (Object o : (List<Object>) tx.getOrDefault("put", List.of())) {
            Map<String, Object> e = (Map<String, Object>) o;
            set(text(e, "table"), text(e, "part"), text(e, "private-key"), text(e, "value"), mVer);
        }
        for (Object o : (List<Object>) tx.getOrDefault("remove", List.of())) {
            Map<String, Object> e = (Map<String, Object>) o;
            set(text(e, "table"), text(e, "part"), text(e, "private-key"), null, mVer);
        }
        notifyAll();
        return new Object[] {200, reply(List.of(), false)};
    }

    private static String text(Map<String, Object> e, String name) {
        return (String) e.getOrDefault(name, "");
    }

    private static String idOf(Map<String, Object> e) {
        return id(text(e, "table"), text(e, "part"), text(e, "private-key"));
    }
}
