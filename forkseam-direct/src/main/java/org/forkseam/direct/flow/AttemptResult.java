package org.forkseam.direct.flow;

import org.forkseam.core.member.ErrorRate;
import org.forkseam.core.member.Target;
import org.forkseam.direct.io.ExchangeFailure;

/**
 * Says how an attempt to have a request run at one target ended.
 *
 * @param kind what happened
 * @param detail more on it, for the logs
 */
record AttemptResult(Kind kind, String detail) {
    /** Says what happened, and whether the target may have run the request. */
    enum Kind {
        /** The whole answer is there, whatever its status. */
        ANSWERED(true),
        /** No byte was sent: no connection came up. */
        UNREACHABLE(false),
        /** No byte was sent: this router has its share of the target's connections in use. */
        NO_CONNECTION(false),
        /** No byte was sent: what had been chosen was not to be done any more. */
        WITHDRAWN(false),
        /** The target says that it has not run the request. */
        REFUSED(false),
        /** Another target lives at the address; it has not run the request. */
        WRONG_TARGET(false),
        /** The target failed while it ran the request, and says so. */
        FAILED(true),
        /** The connection ended before the answer was whole. */
        BROKEN(true),
        /** What came is no answer. */
        MALFORMED(true),
        /** The router gave the attempt up since the target was silent for too long. */
        GIVEN_UP(true);

        private final boolean mMayHaveRun;

        Kind(boolean mayHaveRun) {
            mMayHaveRun = mayHaveRun;
        }

        /** Returns whether the target may have run the request. */
        boolean mayHaveRun() {
            return mMayHaveRun;
        }

        /** Returns whether no byte of the request was sent. */
        boolean isUnsent() {
            return this == UNREACHABLE || this == NO_CONNECTION || this == WITHDRAWN;
        }

        /** Returns whether it speaks against the target's health. */
        boolean isFailure() {
            return this == UNREACHABLE
                    || this == FAILED
                    || this == BROKEN
                    || this == MALFORMED
                    || this == GIVEN_UP;
        }
    }

    /**
     * Notes on the target what this end says of it.
     *
     * @param pool the share of all the pool's requests that fail
     */
    void recordOn(Target t, ErrorRate pool, long nowMillis) {
        if (kind == Kind.ANSWERED || kind == Kind.FAILED) {
            t.errors().note(kind == Kind.FAILED);
            pool.note(kind == Kind.FAILED);
        }
        switch (kind) {
            case ANSWERED -> t.health().onSuccess(nowMillis);
            case FAILED -> {
                if (t.errors().standsOutOf(pool)) {
                    t.health().onFailure(nowMillis);
                }
            }
            case REFUSED -> t.onRefused(nowMillis);
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

    static AttemptResult of(ExchangeFailure kind, String detail) {
        return new AttemptResult(
                switch (kind) {
                    case UNREACHABLE, NOBODY_LISTENS -> Kind.UNREACHABLE;
                    case NO_CONNECTION_FREE -> Kind.NO_CONNECTION;
                    case MALFORMED -> Kind.MALFORMED;
                    case CLOSED, RESET -> Kind.BROKEN;
                },
                kind + " " + detail);
    }
}
