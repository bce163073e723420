package org.forkseam.core.share;

/**
 * Tells which software began a stream.
 *
 * @param stream hash of the id of the request whose response began the stream
 * @param software key of pool and software version; {@link #UNKNOWN} if the sender does not know it
 * @since 0.7
 */
public record StreamOrigin(long stream, long software) {
    /** Software of a stream whose origin is not known. */
    public static final long UNKNOWN = 0;

    /** Returns whether the software is known. */
    public boolean isKnown() {
        return software != UNKNOWN;
    }
}
