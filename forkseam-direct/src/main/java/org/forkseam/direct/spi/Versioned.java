package org.forkseam.direct.spi;

/**
 * Holds something read from the source of knowledge, and its revision.
 *
 * @param <T> what was read
 * @param revision grows with every change of the source
 * @param readAt the source's own steady clock when it was read, in milliseconds
 * @param value what was read
 * @since 0.2
 */
public record Versioned<T>(long revision, long readAt, T value) {}
