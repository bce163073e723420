package org.forkseam.direct.flow;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;

import org.forkseam.core.crash.RequestFingerprints;
import org.forkseam.core.traffic.Prompt;
import org.forkseam.core.util.Hashes;
import org.forkseam.direct.spi.RequestHead;

import java.util.List;

/**
 * A complete request from a caller. Not modified after creation.
 *
 * @param method the method
 * @param uri the path and query as sent
 * @param headers the headers as sent
 * @param body the body
 * @param head the decoded headers
 * @param arrival arrival of the first byte
 */
record CallerRequest(
        HttpMethod method,
        String uri,
        HttpHeaders headers,
        byte[] body,
        RequestHead head,
        Arrival arrival) {

    /** Returns the arrival time of the first byte in the clock's milliseconds. */
    long receivedMillis() {
        return arrival.millis();
    }

    /** Returns the path without the query. */
    String path() {
        int query = uri.indexOf('?');
        return query < 0 ? uri : uri.substring(0, query);
    }

    /**
     * Returns a hash of path, query, caller key and body. Repetitions of a request under another id
     * have the same hash.
     */
    private long contentHash() {
        long headHash = Hashes.mix(Hashes.of(uri), Hashes.of(head.key().orElse("")));
        return Hashes.mix(headHash, Hashes.of(body));
    }

    /** Returns the fingerprints by which crashes under this request are counted. */
    RequestFingerprints fingerprints() {
        List<Prompt.Part> parts = head.prompt().map(Prompt::sharedParts).orElse(List.of());
        return RequestFingerprints.of(contentHash(), parts.stream().map(Prompt.Part::id).toList());
    }

    /** Returns the request id, or an empty string if there is none. */
    String id() {
        return head.requestId().orElse("");
    }
}
