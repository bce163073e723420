package org.forkseam.direct.spi;

/**
 * Holds something read from the source of knowledge, and its revision.
 *
 * @param <T> what was read
 * @param revision grows with every change of the source
 * @param value what was read
 * @since 0.2
 */
public record Versioned<T>(long revision, T value) {}
