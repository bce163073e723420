package org.forkseam.direct;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import java.util.function.IntConsumer;

/**
 * A target that sends scripted bytes, including malformed responses that no library would produce.
 * Each connection has its own thread. Health checks are answered without the script and are not
 * among the received requests.
 */
public final class ScriptedServer implements AutoCloseable {
    /** Header by which a success shows that the target has made it. */
    public static final String SIGNATURE = "Response-Signature: s\r\n";

    /** Path of the health check. */
    public static final String HEALTH_PATH = "/health";

    /** Responds to one request. */
    public interface Script {
        /** Writes the response; returns whether to keep the connection open. */
        boolean answer(Request request, Connection connection)
                throws IOException, InterruptedException;
    }

    /** A received request. */
    public record Request(int number, String head, String body) {
        /** Returns a header's value, or an empty string. */
        public String header(String name) {
            for (String line : head.split("\r\n")) {
                if (line.toLowerCase().startsWith(name.toLowerCase() + ":")) {
                    return line.substring(name.length() + 1).strip();
                }
            }
            return "";
        }

        /** Returns the method. */
        public String method() {
            return head.split(" ")[0];
        }
    }

    /** The connection as seen by a script. */
    public static final class Connection {
        private final Socket mSocket;

        Connection(Socket socket) {
            mSocket = socket;
        }

        /** Sends text unchanged. */
        public void send(String text) throws IOException {
            OutputStream out = mSocket.getOutputStream();
            out.write(text.getBytes(StandardCharsets.UTF_8));
            out.flush();
        }

        /** Returns the port of the peer. */
        public int peerPort() {
            return mSocket.getPort();
        }

        /** Limits how many bytes the kernel holds for the peer. */
        public void setSendBufferSize(int bytes) throws IOException {
            mSocket.setSendBufferSize(bytes);
        }

        /** Resets the connection. */
        public void reset() throws IOException {
            mSocket.setSoLinger(true, 0);
            mSocket.close();
        }

        /** Waits until the peer closes the connection; returns whether it did in time. */
        public boolean awaitClose(int millis) throws IOException {
            mSocket.setSoTimeout(millis);
            try {
                return mSocket.getInputStream().read() < 0;
            } catch (java.net.SocketTimeoutException e) {
                return false;
            } catch (IOException e) {
                return true; // reset by the peer
            }
        }
    }

    /** Exceeds the connections that tests open at once; the default of 50 does not. */
    private static final int BACKLOG = 1_024;

    private final ServerSocket mListener = new ServerSocket();
    private final Script mScript;
    private final Thread mAcceptor;
    private final AtomicInteger mRequestCount = new AtomicInteger();
    private final List<Request> mReceived = new CopyOnWriteArrayList<>();
    private final List<Socket> mOpen = new CopyOnWriteArrayList<>();

    private volatile String mId = "";
    private volatile long mStartMillis;
    private volatile String mBeforeHealth = "";
    private volatile String mAfterHealth = "";
    private final AtomicReference<String> mBeforeNextHealth = new AtomicReference<>("");
    private volatile boolean mRepeatsHealth;
    private volatile boolean mFrozen;
    private volatile Consumer<Runnable> mStarter = ScriptedServer::startThread;
    private volatile IntConsumer mOnAccept = peerPort -> {};
    private volatile IntConsumer mOnHealthCheck = peerPort -> {};
    private volatile CountDownLatch mAccepting = new CountDownLatch(0);

    private ScriptedServer(Script script) throws IOException {
        mScript = script;
        mListener.bind(new InetSocketAddress("127.0.0.1", 0), BACKLOG);
        mAcceptor = new Thread(this::accept, "scripted");
        mAcceptor.setDaemon(true);
        mAcceptor.start();
    }

    /** Starts a server. */
    public static ScriptedServer of(Script script) throws IOException {
        return new ScriptedServer(script);
    }

    /** Returns a complete, signed response with a length. */
    public static String ok(Request r, String body) {
        return "HTTP/1.1 200 OK\r\nRequest-Id: "
                + r.header("Request-Id")
                + "\r\n"
                + SIGNATURE
                + "Content-Length: "
                + body.length()
                + "\r\n\r\n"
                + body;
    }

    /** Returns the listen address. */
    public String address() {
        return "127.0.0.1:" + mListener.getLocalPort();
    }

    /** Sets the id of the target; it rejects health checks that are meant for another one. */
    public void setId(String id) {
        mId = id;
    }

    /** Sets the start time that responses to health checks name. */
    public void setStartMillis(long startMillis) {
        mStartMillis = startMillis;
    }

    /** Sets what is sent before the response to each health check, such as a surplus response. */
    public void setBeforeHealth(String text) {
        mBeforeHealth = text;
    }

    /** Sets what is sent behind the response to each health check, in the same write. */
    public void setAfterHealth(String text) {
        mAfterHealth = text;
    }

    /** Sets what is sent before the response to the next health check only. */
    public void setBeforeNextHealth(String text) {
        mBeforeNextHealth.set(text);
    }

    /** Sets what starts the threads of connections. */
    public void setStarter(Consumer<Runnable> starter) {
        mStarter = starter;
    }

    /** Sets what is called with the port of the peer, on the thread that accepts connections. */
    public void setOnAccept(IntConsumer onAccept) {
        mOnAccept = onAccept;
    }

    /** Sets what is called with the port of the peer before the response to a health check. */
    public void setOnHealthCheck(IntConsumer onHealthCheck) {
        mOnHealthCheck = onHealthCheck;
    }

    /**
     * Sends, before the response to a health check, the one before it on its connection once more.
     */
    public void repeatHealth() {
        mRepeatsHealth = true;
    }

    /** Accepts connections from now on without reading from them. */
    public void freeze() {
        mFrozen = true;
    }

    /** Accepts at most one more connection until {@link #resumeAccepting}. */
    public void pauseAccepting() {
        mAccepting = new CountDownLatch(1);
    }

    /** Ends {@link #pauseAccepting}. */
    public void resumeAccepting() {
        mAccepting.countDown();
    }

    /** Returns the received requests in order. */
    public List<Request> requests() {
        return mReceived;
    }

    private void accept() {
        while (!mListener.isClosed()) {
            try {
                mAccepting.await();
                Socket s = mListener.accept();
                mOpen.add(s);
                mOnAccept.accept(s.getPort());
                mStarter.accept(() -> serve(s));
            } catch (IOException e) {
                return; // closed by the test
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            }
        }
    }

    private static void startThread(Runnable task) {
        Thread t = new Thread(task, "scripted-connection");
        t.setDaemon(true);
        t.start();
    }

    private void serve(Socket s) {
        try (s) {
            Connection connection = new Connection(s);
            String lastHealth = "";
            while (true) {
                if (mFrozen) {
                    Thread.sleep(Long.MAX_VALUE);
                }
                Request r = read(s.getInputStream());
                if (r.head().startsWith("GET " + HEALTH_PATH + " ")) {
                    mOnHealthCheck.accept(s.getPort());
                    String surplus = mBeforeHealth + mBeforeNextHealth.getAndSet("");
                    String own = health(r.header("Expect-Instance"));
                    connection.send(
                            (mRepeatsHealth ? lastHealth : "") + surplus + own + mAfterHealth);
                    lastHealth = own;
                    continue;
                }
                mReceived.add(r);
                if (!mScript.answer(r, connection)) {
                    return;
                }
            }
        } catch (IOException e) {
            return; // the router has closed the connection
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private String health(String expectedId) {
        String body = mStartMillis == 0 ? "" : "{\"born\":" + mStartMillis + "}";
        boolean own = mId.isEmpty() || mId.equals(expectedId);
        return "HTTP/1.1 "
                + (own ? "200 OK" : "421 Misdirected Request")
                + (own ? "\r\nInstance-Id: " + expectedId : "")
                + "\r\nContent-Length: "
                + body.length()
                + "\r\n\r\n"
                + body;
    }

    private Request read(InputStream in) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int b = in.read();
            if (b < 0) {
                throw new IOException("closed");
            }
            head.append((char) b);
        }
        Request r = new Request(0, head.toString(), "");
        String length = r.header("Content-Length");
        byte[] body = in.readNBytes(length.isEmpty() ? 0 : Integer.parseInt(length));
        String text = new String(body, StandardCharsets.UTF_8);
        return new Request(mRequestCount.incrementAndGet(), head.toString(), text);
    }

    @Override
    public void close() throws IOException {
        mListener.close();
        awaitAcceptor();
        for (Socket s : mOpen) {
            s.close();
        }
    }

    /**
     * Waits for the accept thread, as the kernel keeps the port open until it has left accept().
     */
    private void awaitAcceptor() {
        try {
            mAcceptor.join();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
