package org.forkseam.direct.io;

/** Reason why an exchange with a target ended without a complete response. */
public enum ExchangeFailure {
    /** Connecting failed; nothing was sent. */
    UNREACHABLE,
    /** The connection was refused, as no process listens at the address; nothing was sent. */
    NOBODY_LISTENS,
    /** This router's connection limit for the target is reached; nothing was sent. */
    NO_CONNECTION_FREE,
    /** This router cannot open a socket, e.g. for lack of descriptors; nothing was sent. */
    NO_SOCKET,
    /** The connection closed before the response was complete. */
    CLOSED,
    /** The connection was reset. */
    RESET,
    /** The response was malformed. */
    MALFORMED;

    /** Returns whether the target may have run the request. */
    public boolean mayHaveRun() {
        return switch (this) {
            case UNREACHABLE, NOBODY_LISTENS, NO_CONNECTION_FREE, NO_SOCKET -> false;
            case CLOSED, RESET, MALFORMED -> true;
        };
    }
}
