package org.forkseam.core.claim;

import java.util.Optional;

/**
 * State machine that guarantees that an unrepeatable request runs at most once.
 *
 * <p>Each instance represents one attempt of a sidecar to claim one request. It performs no I/O:
 * the caller executes each returned {@link Step} and reports the result, which yields the next
 * step. The request is sent to the target only after it was claimed in the table service. A claim
 * never expires; it can be taken over only after its owner recorded that it abandoned the request.
 *
 * <p>Not thread-safe.
 *
 * @since 0.1
 */
public final class ClaimProtocol {
    /** Action to be executed by the caller. */
    public enum Step {
        /** Insert {@link #row()} if the key is absent. */
        INSERT,
        /** Replace the row last observed by {@link #row()} if it is unchanged. */
        REPLACE,
        /** Read the row. */
        READ,
        /** Send the request to the target; this attempt has exclusive permission. */
        RUN,
        /** Return the stored response in {@link #observed()}. */
        REPLAY,
        /**
         * Join an earlier attempt of this sidecar that is still running or whose response is
         * stored.
         */
        JOIN,
        /** Report "not run" and name the owner. */
        ASK_OWNER,
        /** Report "not run" because the table service is unavailable. */
        NOT_RUN,
        /** Report "may have run" because the owner has restarted. */
        MAY_HAVE_RUN,
        /** Refuse the request because its id belongs to another request. */
        ID_REUSED
    }

    /** Provides the states of the sidecar's own attempts. */
    @FunctionalInterface
    public interface OwnAttempts {
        /** Returns the state of the attempt with this nonce in the current incarnation. */
        AttemptState stateOf(String nonce);
    }

    /** State of an attempt of this sidecar. */
    public enum AttemptState {
        /** The request was or may be sent to the target. */
        ACTIVE,
        /** The request was not and never will be sent to the target. */
        ABANDONED,
        /** The attempt belongs to an earlier incarnation. */
        UNKNOWN
    }

    private final ClaimRow mOwnRow;
    private final OwnAttempts mOwnAttempts;
    private ClaimRow mObserved;
    private boolean mReadBack;

    private ClaimProtocol(ClaimRow ownRow, OwnAttempts ownAttempts) {
        mOwnRow = ownRow;
        mOwnAttempts = ownAttempts;
    }

    /** Creates the protocol for a claim with the given row, whose nonce must be unique. */
    public static ClaimProtocol of(ClaimRow ownRow, OwnAttempts ownAttempts) {
        return new ClaimProtocol(ownRow, ownAttempts);
    }

    /** Returns the first step. */
    public Step start() {
        return Step.INSERT;
    }

    /** Returns the row that claims the request for this attempt. */
    public ClaimRow row() {
        return mOwnRow;
    }

    /** Returns the row last observed in the table service. */
    public Optional<ClaimRow> observed() {
        return Optional.ofNullable(mObserved);
    }

    /** Handles a successful write. */
    public Step onApplied() {
        return Step.RUN;
    }

    /**
     * Handles a write that was rejected because the row differs.
     *
     * @param now the current row
     */
    public Step onConflict(Optional<ClaimRow> current) {
        return evaluate(current);
    }

    /** Handles a write with an unknown result, which may still take effect. */
    public Step onUnknown() {
        if (mReadBack) {
            return Step.NOT_RUN;
        }
        mReadBack = true;
        return Step.READ;
    }

    /** Handles the result of a read. */
    public Step onRead(Optional<ClaimRow> current) {
        return evaluate(current);
    }

    /** Handles a failed read. */
    public Step onReadFailed() {
        return Step.NOT_RUN;
    }

    private Step evaluate(Optional<ClaimRow> current) {
        if (current.isEmpty()) {
            // The write may still take effect, so it is not repeated. A late write leaves a claim
            // that this sidecar knows to be abandoned.
            return Step.NOT_RUN;
        }
        mObserved = current.get();
        if (mObserved.nonce().equals(mOwnRow.nonce())) {
            return mObserved.state() == ClaimRow.State.CLAIMED ? Step.RUN : Step.MAY_HAVE_RUN;
        }
        if (!mObserved.fingerprint().equals(mOwnRow.fingerprint())) {
            return Step.ID_REUSED;
        }
        return switch (mObserved.state()) {
            case DONE -> Step.REPLAY;
            case ABANDONED -> Step.REPLACE;
            case CLAIMED -> evaluateClaimed();
        };
    }

    private Step evaluateClaimed() {
        if (!mObserved.owner().equals(mOwnRow.owner())) {
            return Step.ASK_OWNER;
        }
        if (mObserved.incarnation() != mOwnRow.incarnation()) {
            return Step.MAY_HAVE_RUN;
        }
        return switch (mOwnAttempts.stateOf(mObserved.nonce())) {
            case ACTIVE -> Step.JOIN;
            case ABANDONED -> Step.REPLACE;
            case UNKNOWN -> Step.MAY_HAVE_RUN;
        };
    }
}
