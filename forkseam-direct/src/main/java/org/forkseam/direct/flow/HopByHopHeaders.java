package org.forkseam.direct.flow;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;

import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.function.Predicate;

/**
 * Removes headers that concern one connection only (RFC 9110, 7.6.1).
 *
 * <p>A sender may list fields of its own in {@code Connection}. Those that say what a message is
 * and where it goes stay all the same: otherwise a caller could have a request arrive without its
 * id, its model or its length.
 */
final class HopByHopHeaders {
    private static final List<CharSequence> HOP_BY_HOP =
            List.of(
                    HttpHeaderNames.CONNECTION,
                    "Keep-Alive",
                    HttpHeaderNames.PROXY_AUTHENTICATE,
                    HttpHeaderNames.PROXY_AUTHORIZATION,
                    HttpHeaderNames.PROXY_CONNECTION,
                    HttpHeaderNames.TE,
                    HttpHeaderNames.TRAILER,
                    HttpHeaderNames.TRANSFER_ENCODING,
                    HttpHeaderNames.UPGRADE);

    private static final Set<String> NEVER_REMOVED =
            Set.of("host", "content-length", "content-type", "content-encoding");

    private HopByHopHeaders() {}

    /**
     * Removes them.
     *
     * @param isEndToEnd further fields, by name, that no connection option takes away
     */
    static void remove(HttpHeaders headers, Predicate<String> isEndToEnd) {
        for (String listed : headers.getAll(HttpHeaderNames.CONNECTION)) {
            for (String part : listed.split(",")) {
                String name = part.strip();
                boolean stays =
                        NEVER_REMOVED.contains(name.toLowerCase(Locale.ROOT))
                                || isEndToEnd.test(name);
                if (!stays) {
                    headers.remove(name);
                }
            }
        }
        HOP_BY_HOP.forEach(headers::remove);
    }
}
