package org.forkseam.direct.flow;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;

import java.util.List;

/** Removes headers that concern one connection only (RFC 9110, 7.6.1). */
final class HopHeaders {
    private static final List<CharSequence> NAMES =
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

    private HopHeaders() {}

    static void remove(HttpHeaders headers) {
        for (String listed : headers.getAll(HttpHeaderNames.CONNECTION)) {
            for (String name : listed.split(",")) {
                headers.remove(name.strip());
            }
        }
        NAMES.forEach(headers::remove);
    }
}
