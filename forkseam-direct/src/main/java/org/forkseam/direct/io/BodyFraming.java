package org.forkseam.direct.io;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpVersion;

import java.util.List;

/** Rules on how a response head delimits its body. Stateless. */
final class BodyFraming {
    private static final String NO_BODY = "0";

    private BodyFraming() {}

    /**
     * Rejects a head whose body readers delimit differently.
     *
     * @throws IllegalArgumentException if the head is ambiguous
     */
    static void validate(HttpResponse r) {
        HttpHeaders h = r.headers();
        List<String> codings = h.getAll(HttpHeaderNames.TRANSFER_ENCODING);
        if (r.status().code() == HttpResponseStatus.SWITCHING_PROTOCOLS.code()) {
            throw new IllegalArgumentException("protocol switch that was not requested");
        }
        if (r.status().codeClass() == HttpStatusClass.INFORMATIONAL && announcesBody(r)) {
            throw new IllegalArgumentException("interim response with a body");
        }
        if (codings.isEmpty()) {
            return;
        }
        if (codings.size() > 1
                || !HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(codings.get(0))) {
            throw new IllegalArgumentException("Transfer-Encoding " + codings);
        }
        if (h.contains(HttpHeaderNames.CONTENT_LENGTH)) {
            throw new IllegalArgumentException("both Transfer-Encoding and Content-Length");
        }
        if (!HttpVersion.HTTP_1_1.equals(r.protocolVersion())) {
            throw new IllegalArgumentException("Transfer-Encoding in " + r.protocolVersion());
        }
    }

    /** Returns whether a response that has no body announces one, which may then follow. */
    static boolean announcesBody(HttpResponse r) {
        String length = r.headers().get(HttpHeaderNames.CONTENT_LENGTH, NO_BODY);
        return r.headers().contains(HttpHeaderNames.TRANSFER_ENCODING) || !NO_BODY.equals(length);
    }
}
