package org.forkseam.platform;

import java.util.Optional;

/**
 * One write of a transaction, optionally conditional on the row's revision. Immutable.
 *
 * @param key key of the row
 * @param value new value, or empty to delete the row
 * @param expectedRevision required revision of the row; 0 if the row must not exist, empty for an
 *     unconditional write
 */
public record Write(String key, Optional<String> value, Optional<Long> expectedRevision) {
    /** Creates a write that requires the row not to exist. */
    public static Write insert(String key, String value) {
        return new Write(key, Optional.of(value), Optional.of(0L));
    }

    /** Creates a write that requires the row to have the given revision. */
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
