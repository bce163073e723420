package org.forkseam.direct.flow;

import org.forkseam.core.member.ErrorRate;
import org.forkseam.core.member.Target;
import org.forkseam.direct.io.ExchangeFailure;

/**
 * Result of an attempt to run a request at one target. Immutable.
 *
 * @param kind the kind of result
 * @param detail further information for logs
 */
record AttemptResult(Kind kind, String detail) {
    /** Kind of result. The names are used as metric tag values and in logs. */
    enum Kind {
        /** A complete response arrived, with any status that is not a failure. */
        ANSWERED(true),
        /** Nothing was sent: connecting failed, possibly after a long time. */
        UNREACHABLE(false),
        /** Nothing was sent: the connection was refused at once. */
        NOBODY_LISTENS(false),
        /** Nothing was sent: this router has reached its connection limit or lacks descriptors. */
        NO_CONNECTION(false),
        /** Nothing was sent: the target or the request became ineligible before sending. */
        WITHDRAWN(false),
        /** The target reported that it did not run the request. */
        REFUSED(false),
        /** A different target answered at the address and did not run the request. */
        WRONG_TARGET(false),
        /** The target responded with a server error. */
        FAILED(true),
        /** The target responded to a request for the rest of a stream with something else. */
        NOT_CONTINUED(true),
        /** The connection closed before the response was complete. */
        BROKEN(true),
        /** The response was malformed. */
        MALFORMED(true),
        /** The router cancelled the attempt because the target was silent for too long. */
        GIVEN_UP(true);

        private final boolean mMayHaveRun;

        Kind(boolean mayHaveRun) {
            mMayHaveRun = mayHaveRun;
        }

        /** Returns whether the target may have run the request. */
        boolean mayHaveRun() {
            return mMayHaveRun;
        }

        /** Returns whether nothing of the request was sent. */
        boolean isUnsent() {
            return this == UNREACHABLE
                    || this == NOBODY_LISTENS
                    || this == NO_CONNECTION
                    || this == WITHDRAWN;
        }

        /** Returns whether the result counts as a failure of the target. */
        boolean isFailure() {
            return this == UNREACHABLE
                    || this == NOBODY_LISTENS
                    || this == FAILED
                    || this == BROKEN
                    || this == MALFORMED
                    || this == GIVEN_UP;
        }
    }

    /**
     * Updates the health and error rate of the target from this result.
     *
     * @param poolRate error rate of the target's pool
     */
    void recordOn(Target t, ErrorRate poolRate, long nowMillis) {
        if (kind == Kind.ANSWERED || kind == Kind.FAILED) {
            t.errors().addResult(kind == Kind.FAILED);
            poolRate.addResult(kind == Kind.FAILED);
        }
        switch (kind) {
            case ANSWERED -> t.health().onSuccess(nowMillis);
            case FAILED -> {
                if (t.errors().isOutlierIn(poolRate)) {
                    t.health().onFailure(nowMillis);
                }
            }
            case REFUSED -> t.onRequestRefused(nowMillis);
            default -> {
                if (kind.isFailure()) {
                    t.health().onFailure(nowMillis);
                }
            }
        }
    }

    static AttemptResult of(Kind kind, String detail) {
        return new AttemptResult(kind, detail);
    }

    static AttemptResult of(ExchangeFailure failure, String detail) {
        return new AttemptResult(
                switch (failure) {
                    case UNREACHABLE -> Kind.UNREACHABLE;
                    case NOBODY_LISTENS -> Kind.NOBODY_LISTENS;
                    case NO_CONNECTION_FREE, NO_SOCKET -> Kind.NO_CONNECTION;
                    case MALFORMED -> Kind.MALFORMED;
                    case CLOSED, RESET -> Kind.BROKEN;
                },
                failure + " " + detail);
    }
}
