package org.forkseam.core.crash;

import java.util.Collections;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * Fingerprints of one request: of its content, and of the parts of its prompt that other requests
 * may have too. Immutable.
 *
 * @param content fingerprint of the content
 * @param all all fingerprints, without duplicates
 * @since 0.7
 */
public record RequestFingerprints(long content, Set<Long> all) {
    /** Creates the fingerprints of a request without a prompt. */
    public static RequestFingerprints of(long contentHash) {
        return of(contentHash, List.of());
    }

    /**
     * Creates the fingerprints of a request.
     *
     * @param sharedParts ids of the parts of the prompt without the last one
     */
    public static RequestFingerprints of(long contentHash, Iterable<String> sharedParts) {
        long content = Fingerprint.ofContent(contentHash);
        Set<Long> all = new LinkedHashSet<>();
        all.add(content);
        for (String id : sharedParts) {
            all.add(Fingerprint.ofPart(id));
        }
        return new RequestFingerprints(content, Collections.unmodifiableSet(all));
    }

    /** Returns whether the request has a prompt with shared parts. */
    public boolean hasParts() {
        return all.size() > 1;
    }

    /** Returns whether the request has a part or content with this fingerprint. */
    public boolean contains(long fingerprint) {
        return all.contains(fingerprint);
    }
}
