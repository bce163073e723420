package org.forkseam.direct.flow;

import io.netty.handler.codec.http.HttpRequest;

import java.util.Iterator;
import java.util.Map;

/** Estimates the memory that requests take, in bytes. Stateless. */
final class RequestCost {
    /** A request that is being served, without its head and body. */
    private static final long REQUEST_BYTES = 4 << 10;

    /** A header line with its objects, here and in the request to the target. */
    private static final long LINE_BYTES = 256;

    /** Copies of a head: as received, decoded, and encoded for the target. */
    private static final long HEAD_COPIES = 3;

    private RequestCost() {}

    /** Returns the memory of a request without its body. */
    static long ofHead(HttpRequest head) {
        long bytes = head.uri().length();
        int lines = 0;
        Iterator<Map.Entry<CharSequence, CharSequence>> headers =
                head.headers().iteratorCharSequence();
        while (headers.hasNext()) {
            Map.Entry<CharSequence, CharSequence> h = headers.next();
            bytes += h.getKey().length() + h.getValue().length();
            lines++;
        }
        return REQUEST_BYTES + ofPartialHead(bytes, lines);
    }

    /** Returns the memory of a part of a head. */
    static long ofPartialHead(long bytes, int lines) {
        return HEAD_COPIES * bytes + LINE_BYTES * lines;
    }
}
