package org.forkseam.direct.flow;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;

import org.forkseam.core.util.Hashes;
import org.forkseam.direct.spi.RequestHead;

/**
 * Holds a caller's request, read whole.
 *
 * @param method its method
 * @param uri its path and query, as sent
 * @param headers its headers, as sent
 * @param body its body
 * @param head what the headers say
 * @param arrival when its first byte came
 */
record CallerRequest(
        HttpMethod method,
        String uri,
        HttpHeaders headers,
        byte[] body,
        RequestHead head,
        Arrival arrival) {

    /** Returns when its first byte came, in the clock's milliseconds. */
    long receivedMillis() {
        return arrival.millis();
    }

    /** Returns the path without the query. */
    String path() {
        int query = uri.indexOf('?');
        return query < 0 ? uri : uri.substring(0, query);
    }

    /**
     * Returns a hash of what the request asks for: its path and query, its caller's key and its
     * body. A request that comes again under another id has the same.
     */
    long contentHash() {
        long what = Hashes.mix(Hashes.of(uri), Hashes.of(head.key().orElse("")));
        return Hashes.mix(what, Hashes.of(body));
    }

    /** Returns the request's id, or an empty text if it has none. */
    String id() {
        return head.requestId().orElse("");
    }
}
