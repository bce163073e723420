package org.forkseam.core.outcome;

/** Says what became of a request, as far as can be known. */
public enum OutcomeKind {
    /** The whole answer was delivered. */
    ANSWERED,
    /** Nothing was handed to any target. */
    NOT_RUN,
    /** The request was handed over and its end is not known. */
    MAY_HAVE_RUN,
    /** The target had the request and could not complete it. */
    FAILED
}
