package org.forkseam.direct.spi;

import org.forkseam.core.store.StorePosition;
import org.forkseam.core.store.StoreTimestamp;

/**
 * A value read from a source, with its position in the source's history. Immutable.
 *
 * @param <T> type of the value
 * @param position position in the history; advances with every change
 * @param readAt the source's monotonic clock at the read, in milliseconds
 * @param value the value
 * @since 0.2
 */
public record Versioned<T>(StorePosition position, long readAt, T value) {
    /** Returns the time of the read. */
    public StoreTimestamp readTime() {
        return StoreTimestamp.of(position.era(), readAt);
    }
}
