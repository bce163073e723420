package org.forkseam.platform;

/**
 * A row of the table service. Immutable.
 *
 * @param key key of the row
 * @param value value of the row
 * @param revision revision of the last write to the row
 */
public record Row(String key, String value, long revision) {}
