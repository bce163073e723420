package review;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** Reads heads and bodies of HTTP/1.1 messages from a socket. */
final class Http {
    /** Rate of a transfer without a limit, in bytes a second. */
    static final long UNLIMITED = 1L << 40;

    private Http() {}

    /** First line and header fields of a message; names in lower case. */
    record Head(String line, Map<String, String> fields) {
        int status() {
            return Integer.parseInt(line.split(" ")[1]);
        }

        String path() {
            return line.split(" ")[1];
        }

        String field(String name) {
            return fields.getOrDefault(name.toLowerCase(Locale.ROOT), "");
        }
    }

    /**
     * A body.
     *
     * @param complete whether its end was marked as the protocol asks
     */
    record Body(byte[] bytes, boolean complete, String end) {}

    static Head readHead(InputStream in) throws IOException {
        ByteArrayOutputStream b = new ByteArrayOutputStream();
        int matched = 0;
        while (matched < 4) {
            int c = in.read();
            if (c < 0) {
                throw new EOFException("connection closed within a head");
            }
            b.write(c);
            matched = c == "\r\n\r\n".charAt(matched) ? matched + 1 : c == '\r' ? 1 : 0;
        }
        String[] lines = b.toString(StandardCharsets.ISO_8859_1).split("\r\n");
        Map<String, String> fields = new TreeMap<>();
        for (int i = 1; i < lines.length; i++) {
            int colon = lines[i].indexOf(':');
            fields.put(
                    lines[i].substring(0, colon).toLowerCase(Locale.ROOT),
                    lines[i].substring(colon + 1).strip());
        }
        return new Head(lines[0], fields);
    }

    /** Reads the body of an answer, at most {@code perSecond} bytes a second. */
    static Body readBody(InputStream in, Head h, long perSecond) throws InterruptedException {
        ByteArrayOutputStream b = new ByteArrayOutputStream();
        try {
            if (h.field("transfer-encoding").equalsIgnoreCase("chunked")) {
                while (true) {
                    int size = Integer.parseInt(readLine(in), 16);
                    copy(in, b, size, perSecond);
                    readLine(in);
                    if (size == 0) {
                        return new Body(b.toByteArray(), true, "last chunk");
                    }
                }
            }
            long length = Long.parseLong("0" + h.field("content-length"));
            copy(in, b, length, perSecond);
            return new Body(b.toByteArray(), true, "whole length");
        } catch (IOException e) {
            return new Body(b.toByteArray(), false, e.toString());
        }
    }

    private static String readLine(InputStream in) throws IOException {
        StringBuilder s = new StringBuilder();
        for (int c = in.read(); c != '\n'; c = in.read()) {
            if (c < 0) {
                throw new EOFException("connection closed within a chunk");
            }
            s.append((char) c);
        }
        return s.toString().strip();
    }

    /** Sends zero bytes, at most {@code perSecond} a second. */
    static void sendZeros(OutputStream out, long n, long perSecond)
            throws IOException, InterruptedException {
        byte[] buffer = new byte[16_384];
        long started = System.nanoTime();
        for (long sent = 0; sent < n; ) {
            int part = (int) Math.min(buffer.length, n - sent);
            out.write(buffer, 0, part);
            sent += part;
            pause(started, sent, perSecond);
        }
        out.flush();
    }

    private static void copy(InputStream in, ByteArrayOutputStream out, long n, long perSecond)
            throws IOException, InterruptedException {
        byte[] buffer = new byte[16_384];
        long left = n;
        long started = System.nanoTime();
        while (left > 0) {
            int got = in.read(buffer, 0, (int) Math.min(buffer.length, left));
            if (got < 0) {
                throw new EOFException("connection closed " + left + " bytes before the end");
            }
            out.write(buffer, 0, got);
            left -= got;
            pause(started, n - left, perSecond);
        }
    }

    /** Waits until as many bytes are due. */
    private static void pause(long startedNanos, long bytes, long perSecond)
            throws InterruptedException {
        long due = bytes * 1_000 / perSecond;
        long passed = (System.nanoTime() - startedNanos) / 1_000_000;
        if (due > passed) {
            Thread.sleep(due - passed);
        }
    }
}
