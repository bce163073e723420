package review;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;

/** A server that serves one request at a time on each connection. */
final class Origin {
    private final ServerSocket mSocket;

    /** Answers one request; returns whether the connection stays open. */
    interface Script {
        boolean serve(Http.Head head, InputStream in, OutputStream out) throws Exception;
    }

    Origin(String ip, Script script) throws IOException {
        mSocket = new ServerSocket();
        mSocket.bind(new InetSocketAddress(InetAddress.getByName(ip), 0));
        daemon(() -> accept(script));
    }

    int port() {
        return mSocket.getLocalPort();
    }

    private static void daemon(Runnable task) {
        Thread t = new Thread(task, "origin");
        t.setDaemon(true);
        t.start();
    }

    private void accept(Script script) {
        while (true) {
            try {
                Socket s = mSocket.accept();
                daemon(() -> serve(s, script));
            } catch (IOException e) {
                return;
            }
        }
    }

    private static void serve(Socket s, Script script) {
        try (s) {
            InputStream in = s.getInputStream();
            boolean open = true;
            while (open) {
                open = script.serve(Http.readHead(in), in, s.getOutputStream());
            }
        } catch (Exception e) {
            // The router has closed the connection.
        }
    }
}
