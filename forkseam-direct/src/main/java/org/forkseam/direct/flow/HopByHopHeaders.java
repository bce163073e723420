package org.forkseam.direct.flow;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;

import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.function.Predicate;

/**
 * Removes hop-by-hop headers (RFC 9110, 7.6.1). Stateless.
 *
 * <p>Fields listed in {@code Connection} are removed as well, except those that define the message
 * or its routing. Otherwise a caller could make the router strip a request's id, model or length.
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
     * Removes the hop-by-hop headers.
     *
     * @param isEndToEnd matches further field names that {@code Connection} cannot remove
     */
    static void remove(HttpHeaders headers, Predicate<String> isEndToEnd) {
        for (String listed : headers.getAll(HttpHeaderNames.CONNECTION)) {
            for (String part : listed.split(",")) {
                String name = part.strip();
                boolean keep =
                        NEVER_REMOVED.contains(name.toLowerCase(Locale.ROOT))
                                || isEndToEnd.test(name);
                if (!keep) {
                    headers.remove(name);
                }
            }
        }
        HOP_BY_HOP.forEach(headers::remove);
    }
}
