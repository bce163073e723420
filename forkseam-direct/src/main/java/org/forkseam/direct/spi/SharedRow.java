package org.forkseam.direct.spi;

import org.forkseam.core.store.StorePosition;

/**
 * Holds one row that routers share.
 *
 * @param key names the row
 * @param value its text; empty if the row is absent
 * @param position of its last write in the store's history; revision 0 if the row is absent
 * @since 0.2
 */
public record SharedRow(String key, String value, StorePosition position) {
    /** Returns the state of a row that is not there. */
    public static SharedRow absent(String key, int era) {
        return new SharedRow(key, "", StorePosition.of(era, 0));
    }

    /** Returns whether the row is there. */
    public boolean exists() {
        return position.revision() > 0;
    }

    /** Returns a row of the same content that stands elsewhere in the history. */
    public SharedRow withPosition(StorePosition other) {
        return new SharedRow(key, value, other);
    }
}
