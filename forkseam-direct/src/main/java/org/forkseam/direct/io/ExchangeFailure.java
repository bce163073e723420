package org.forkseam.direct.io;

/** Says how an exchange with a target ended without a whole answer. */
public enum ExchangeFailure {
    /** No connection came up; no byte of the request was sent. */
    UNREACHABLE,
    /** The host answers that nobody listens at the address; no byte was sent. */
    NOBODY_LISTENS,
    /** The target takes no further connection of this router; no byte was sent. */
    NO_CONNECTION_FREE,
    /** The connection ended before the answer was whole. */
    CLOSED,
    /** The connection was reset. */
    RESET,
    /** What came is no answer in the protocol. */
    MALFORMED;

    /** Returns whether the target may have run the request. */
    public boolean mayHaveRun() {
        return this != UNREACHABLE && this != NOBODY_LISTENS && this != NO_CONNECTION_FREE;
    }
}
