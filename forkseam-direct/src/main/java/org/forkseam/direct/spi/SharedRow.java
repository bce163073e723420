package org.forkseam.direct.spi;

import org.forkseam.core.store.StorePosition;

/**
 * A row shared by all routers. Immutable.
 *
 * @param key the row's key
 * @param value the value; empty if the row is absent
 * @param position position of the last write in the store's history; revision 0 if the row is
 *     absent
 * @since 0.2
 */
public record SharedRow(String key, String value, StorePosition position) {
    /** Returns an absent row. */
    public static SharedRow absent(String key, int era) {
        return new SharedRow(key, "", StorePosition.of(era, 0));
    }

    /** Returns whether the row exists. */
    public boolean exists() {
        return position.revision() > 0;
    }

    /** Returns this row with another position. */
    public SharedRow withPosition(StorePosition other) {
        return new SharedRow(key, value, other);
    }
}
