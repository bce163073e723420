package org.forkseam.direct.spi;

import org.forkseam.core.store.StorePosition;

/**
 * Holds something read from the source of knowledge, and where in its history.
 *
 * @param <T> what was read
 * @param position moves on with every change of the source
 * @param readAt the source's own steady clock when it was read, in milliseconds
 * @param value what was read
 * @since 0.2
 */
public record Versioned<T>(StorePosition position, long readAt, T value) {
    /** Returns the revision that was read. */
    public long revision() {
        return position.revision();
    }
}
