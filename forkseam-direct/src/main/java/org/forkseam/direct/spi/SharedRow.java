package org.forkseam.direct.spi;

/**
 * Holds one row that routers share.
 *
 * @param key names the row
 * @param value its text; empty if the row is absent
 * @param revision changes with each write; 0 if the row is absent
 * @since 0.2
 */
public record SharedRow(String key, String value, long revision) {}
