package review;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/**
 * A server as a process of its own. It answers a long request before it has read all of it, with a
 * body that has no length and ends with the connection.
 */
final class EarlyServer {
    static final int ANSWER_BYTES = 100_000;
    static final int FIRST_PART_BYTES = 40_000;
    private static final int RECEIVE_BUFFER_BYTES = 65_536;
    private static final int WORK_MILLIS = 1_000;

    private EarlyServer() {}

    public static void main(String[] args) throws IOException {
        ServerSocket socket = new ServerSocket();
        socket.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
        socket.bind(new InetSocketAddress(InetAddress.getByName(args[0]), 0));
        System.out.println("port " + socket.getLocalPort());
        while (true) {
            Socket s = socket.accept();
            new Thread(() -> serve(s)).start();
        }
    }

    private static void serve(Socket s) {
        try (s) {
            InputStream in = s.getInputStream();
            OutputStream out = s.getOutputStream();
            Http.Head h = Http.readHead(in);
            String id = h.field("request-id");
            byte[] body = answer(id);
            String head =
                    "HTTP/1.1 200 OK\r\nRequest-Id: "
                            + id
                            + "\r\nResponse-Signature: "
                            + signature(id)
                            + "\r\nConnection: close\r\n\r\n";
            out.write(head.getBytes(StandardCharsets.ISO_8859_1));
            out.write(body, 0, FIRST_PART_BYTES);
            out.flush();
            System.out.println("runs " + id);
            Thread.sleep(WORK_MILLIS);
            in.skipNBytes(Long.parseLong(h.field("content-length")));
            out.write(body, FIRST_PART_BYTES, body.length - FIRST_PART_BYTES);
            out.flush();
            System.out.println("has answered " + id);
        } catch (IOException | InterruptedException e) {
            System.out.println("stops a request: " + e);
        }
    }

    static String signature(String id) {
        return "sig." + id;
    }

    /** Returns the whole body of the answer to a request. */
    static byte[] answer(String id) {
        StringBuilder b = new StringBuilder();
        for (int i = 0; b.length() < ANSWER_BYTES; i++) {
            b.append(id).append(" line ").append(i).append('\n');
        }
        return b.substring(0, ANSWER_BYTES).getBytes(StandardCharsets.ISO_8859_1);
    }
}
