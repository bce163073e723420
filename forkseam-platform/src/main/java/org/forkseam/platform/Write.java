package org.forkseam.platform;

import java.util.Optional;

/**
 * Holds one conditional write of a transaction.
 *
 * @param key the row's key
 * @param value the new text, or empty to delete the row
 * @param expectedRevision the revision the row must have; 0 means that it must be absent; empty
 *     means no condition
 */
public record Write(String key, Optional<String> value, Optional<Long> expectedRevision) {
    /** Creates a write of a row that must be absent. */
    public static Write insert(String key, String value) {
        return new Write(key, Optional.of(value), Optional.of(0L));
    }

    /** Creates a write of a row that must have the revision given. */
    public static Write replace(String key, String value, long revision) {
        return new Write(key, Optional.of(value), Optional.of(revision));
    }

    /** Creates an unconditional write. */
    public static Write put(String key, String value) {
        return new Write(key, Optional.of(value), Optional.empty());
    }

    /** Creates an unconditional delete. */
    public static Write delete(String key) {
        return new Write(key, Optional.empty(), Optional.empty());
    }
}
