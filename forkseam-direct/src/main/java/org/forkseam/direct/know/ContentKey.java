package org.forkseam.direct.know;

import org.forkseam.core.util.Hashes;

import java.util.Optional;

/**
 * Names the rows of one kind that are kept by what a request asks for.
 *
 * @param prefix begins the key; the content's hash follows
 */
record ContentKey(String prefix) {
    /** Returns the key of a content's row. */
    String of(long content) {
        return prefix + Hashes.toHex(content);
    }

    /** Returns whether a row is of this kind. */
    boolean isOf(String key) {
        return key.startsWith(prefix);
    }

    /** Returns the content that a key of this kind names; empty if it names none. */
    Optional<Long> content(String key) {
        try {
            return Optional.of(Long.parseUnsignedLong(key.substring(prefix.length()), 16));
        } catch (NumberFormatException e) {
            return Optional.empty(); // the caller logs the row
        }
    }
}
