package org.forkseam.core.outcome;

/** Outcome of a request as far as it is known. */
public enum OutcomeKind {
    /** The complete response was delivered. */
    ANSWERED,
    /** The request was not sent to any target. */
    NOT_RUN,
    /** The request was sent and its result is unknown. */
    MAY_HAVE_RUN,
    /** The target received the request and failed to complete it. */
    FAILED
}
