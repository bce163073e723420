package org.forkseam.platform;

/**
 * Holds one row of the table service.
 *
 * @param key the row's key
 * @param value its text
 * @param revision changes with each write of the row
 */
public record Row(String key, String value, long revision) {}
