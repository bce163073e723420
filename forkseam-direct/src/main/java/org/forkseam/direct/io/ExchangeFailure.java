package org.forkseam.direct.io;

/** Reason why an exchange with a target ended without a complete response. */
public enum ExchangeFailure {
    /** Connecting failed; nothing was sent. */
    UNREACHABLE,
    /** The connection was refused, as no process listens at the address; nothing was sent. */
    NOBODY_LISTENS,
    /** This router's connection limit for the target is reached; nothing was sent. */
    NO_CONNECTION_FREE,
    /** The connection closed before the response was complete. */
    CLOSED,
    /** The connection was reset. */
    RESET,
    /** The response was malformed. */
    MALFORMED;

    /** Returns whether the target may have run the request. */
    public boolean mayHaveRun() {
        return this != UNREACHABLE && this != NOBODY_LISTENS && this != NO_CONNECTION_FREE;
    }
}
