package org.forkseam.direct.know;

import org.forkseam.core.util.Hashes;

import java.util.Optional;

/**
 * Builds and parses the keys of shared rows that are named by the hash of a request's content.
 * Immutable.
 *
 * @param prefix beginning of the key, followed by the hash
 */
record RowKeyPrefix(String prefix) {
    String keyOf(long content) {
        return prefix + Hashes.toHex(content);
    }

    boolean matches(String key) {
        return key.startsWith(prefix);
    }

    /** Returns the content hash in a key with this prefix; empty if malformed. */
    Optional<Long> contentOf(String key) {
        try {
            return Optional.of(Long.parseUnsignedLong(key.substring(prefix.length()), 16));
        } catch (NumberFormatException e) {
            return Optional.empty(); // the caller logs the row
        }
    }
}
