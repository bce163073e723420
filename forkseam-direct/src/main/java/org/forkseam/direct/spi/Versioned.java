package org.forkseam.direct.spi;

import org.forkseam.core.store.StorePosition;
import org.forkseam.core.store.StoreTimestamp;

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
    /** Returns when it was read. */
    public StoreTimestamp readTime() {
        return StoreTimestamp.of(position.era(), readAt);
    }
}
