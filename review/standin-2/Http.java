package review2;

import java.io.BufferedInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;

/** One side of an HTTP/1.1 connection over a plain socket. */
final class Http implements AutoCloseable {
    final Socket mSocket;
    final InputStream mIn;
    final OutputStream mOut;

    Http(Socket socket) throws IOException {
        mSocket = socket;
        socket.setTcpNoDelay(true);
        mIn = new BufferedInputStream(socket.getInputStream(), 1 << 16);
        mOut = socket.getOutputStream();
    }

    static Http connect(String ip, int port, int timeoutMillis) throws IOException {
        Socket s = new Socket();
        s.connect(new InetSocketAddress(ip, port), timeoutMillis);
        return new Http(s);
    }

    /** A head with its first line and header lines. */
    record Head(String first, List<String[]> headers) {
        Optional<String> get(String name) {
            return headers.stream()
                    .filter(h -> h[0].equalsIgnoreCase(name))
                    .map(h -> h[1])
                    .findFirst();
        }

        long length() {
            return get("Content-Length").map(Long::parseLong).orElse(0L);
        }

        boolean isChunked() {
            return get("Transfer-Encoding")
                    .filter(t -> t.toLowerCase(Locale.ROOT).contains("chunked"))
                    .isPresent();
        }

        int status() {
            return Integer.parseInt(first.split(" ")[1]);
        }
    }

    /** An answer; {@code whole} tells whether it arrived to its marked end. */
    record Answer(int status, Optional<String> signature, byte[] body, boolean whole) {
        static Answer none() {
            return new Answer(0, Optional.empty(), new byte[0], false);
        }

        @Override
        public String toString() {
            return (status == 0 ? "no answer" : "status " + status)
                    + " signature "
                    + signature.orElse("none")
                    + " body "
                    + body.length
                    + " B "
                    + (whole ? "whole" : "CUT");
        }
    }

    private String line() throws IOException {
        StringBuilder b = new StringBuilder();
        for (int c = mIn.read(); c != '\n'; c = mIn.read()) {
            if (c < 0) {
                throw new EOFException();
            }
            if (c != '\r') {
                b.append((char) c);
            }
        }
        return b.toString();
    }

    /** Reads a head; empty if the connection ends before it. */
    Optional<Head> head() throws IOException {
        String first;
        try {
            first = line();
        } catch (EOFException e) {
            return Optional.empty();
        }
        List<String[]> headers = new ArrayList<>();
        for (String l = line(); !l.isEmpty(); l = line()) {
            int colon = l.indexOf(':');
            headers.add(new String[] {l.substring(0, colon).strip(), l.substring(colon + 1).strip()});
        }
        return Optional.of(new Head(first, headers));
    }

    byte[] body(Head head) throws IOException {
        byte[] b = mIn.readNBytes((int) head.length());
        if (b.length < head.length()) {
            throw new EOFException();
        }
        return b;
    }

    void write(String head, byte[] body) throws IOException {
        byte[] h = head.getBytes(StandardCharsets.ISO_8859_1);
        byte[] all = new byte[h.length + body.length];
        System.arraycopy(h, 0, all, 0, h.length);
        System.arraycopy(body, 0, all, h.length, body.length);
        mOut.write(all);
        mOut.flush();
    }

    /** Reads an answer; one that is cut or missing is reported as such. */
    Answer answer() {
        Head head;
        try {
            Optional<Head> h = head();
            if (h.isEmpty()) {
                return Answer.none();
            }
            head = h.get();
        } catch (IOException e) {
            return Answer.none();
        }
        java.io.ByteArrayOutputStream body = new java.io.ByteArrayOutputStream();
        boolean whole = false;
        try {
            if (head.isChunked()) {
                for (int n = chunk(body); n > 0; n = chunk(body)) {
                    // all chunks
                }
                whole = true;
            } else {
                long left = head.length();
                byte[] part = new byte[1 << 14];
                while (left > 0) {
                    int n = mIn.read(part, 0, (int) Math.min(part.length, left));
                    if (n < 0) {
                        break;
                    }
                    body.write(part, 0, n);
                    left -= n;
                }
                whole = left == 0;
            }
        } catch (IOException e) {
            whole = false;
        }
        return new Answer(head.status(), head.get("Response-Signature"), body.toByteArray(), whole);
    }

    private int chunk(java.io.ByteArrayOutputStream out) throws IOException {
        int n = Integer.parseInt(line().split(";")[0].strip(), 16);
        byte[] b = mIn.readNBytes(n);
        if (b.length < n) {
            throw new EOFException();
        }
        out.write(b, 0, n);
        line();
        return n;
    }

    @Override
    public void close() {
        try {
            mSocket.close();
        } catch (IOException e) {
            // closed anyway
        }
    }
}
