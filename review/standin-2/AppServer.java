package review2;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/** A server of a service as the pages describe it. */
final class AppServer {
    private final String mId;
    private final ServerSocket mListener;
    private final Handler mHandler;
    private final AtomicInteger mRuns = new AtomicInteger();
    private final List<String> mWhole = new CopyOnWriteArrayList<>();

    /** Runs one request and writes its answer. */
    interface Handler {
        void run(AppServer server, Http http, Run run) throws IOException, InterruptedException;
    }

    /** A request that reached the server. */
    record Run(String method, String path, String id, Http.Head head, byte[] body) {}

    AppServer(String id, String ip, int port, Handler handler) throws IOException {
        mId = id;
        mHandler = handler;
        mListener = new ServerSocket(port, 200, InetAddress.getByName(ip));
        Lab.thread(this::accept);
    }

    String address() {
        return mListener.getInetAddress().getHostAddress() + ":" + mListener.getLocalPort();
    }

    /** Returns the entry that the server keeps in the store. */
    Map<String, Object> entry(String service, String state, long sequence) {
        return Map.of(
                "service", service,
                "address", address(),
                "zone", "zone-a",
                "version", "v1",
                "slots", 64L,
                "state", state,
                "cold-remaining-ms", 0L,
                "sequence", sequence);
    }

    String id() {
        return mId;
    }

    int runs() {
        return mRuns.get();
    }

    /** Returns whether the server has written the whole answer to a request. */
    boolean hasAnswered(String requestId) {
        return mWhole.contains(requestId);
    }

    private void accept() {
        while (true) {
            try {
                Socket s = mListener.accept();
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
                String[] first = head.get().first().split(" ");
                if (first[1].equals("/health")) {
                    http.write(
                            "HTTP/1.1 200 OK\r\nInstance-Id: "
                                    + mId
                                    + "\r\nContent-Length: 0\r\n\r\n",
                            new byte[0]);
                    continue;
                }
                String id = head.get().get("Request-Id").orElse("");
                String expected = head.get().get("Expect-Instance").orElse(mId);
                if (!expected.equals(mId)) {
                    http.write(
                            "HTTP/1.1 421 Misdirected Request\r\nRequest-Id: "
                                    + id
                                    + "\r\nInstance-Id: "
                                    + mId
                                    + "\r\nContent-Length: 0\r\n\r\n",
                            new byte[0]);
                    continue;
                }
                mRuns.incrementAndGet();
                Record.line("%s runs %s %s %s (%d B)", mId, id, first[0], first[1], body.length);
                Run run = new Run(first[0], first[1], id, head.get(), body);
                try {
                    mHandler.run(this, http, run);
                } catch (IOException e) {
                    Record.line("%s: connection of %s closed by the router", mId, id);
                    return;
                }
                mWhole.add(id);
                Record.line("%s has answered %s whole", mId, id);
            }
        } catch (IOException | InterruptedException e) {
            // the router has closed the connection
        }
    }

    /** Writes a whole answer with a length. */
    static void answer(Http http, Run run, byte[] body) throws IOException {
        http.write(
                "HTTP/1.1 200 OK\r\nRequest-Id: "
                        + run.id()
                        + "\r\nResponse-Signature: sig-"
                        + run.id()
                        + "\r\nContent-Length: "
                        + body.length
                        + "\r\n\r\n",
                body);
    }

    /** Writes a stream of events, one each pause. */
    static void stream(Http http, Run run, int events, long pauseMillis)
            throws IOException, InterruptedException {
        http.write(
                "HTTP/1.1 200 OK\r\nRequest-Id: "
                        + run.id()
                        + "\r\nResponse-Signature: sig-"
                        + run.id()
                        + "\r\nContent-Type: text/event-stream"
                        + "\r\nTransfer-Encoding: chunked\r\n\r\n",
                new byte[0]);
        for (int i = 1; i <= events; i++) {
            String event = "id: " + i + "\ndata: piece " + i + " of " + run.id() + "\n\n";
            http.write(
                    Integer.toHexString(event.length()) + "\r\n" + event + "\r\n", new byte[0]);
            Thread.sleep(pauseMillis);
        }
        http.write("0\r\n\r\n", new byte[0]);
    }

    static byte[] text(String s) {
        return s.getBytes(StandardCharsets.UTF_8);
    }
}
