package org.forkseam.core.claim;

import java.util.Optional;

/**
 * Keeps the promise that an unrepeatable request runs at most once.
 *
 * <p>One instance lives through one sidecar's attempt to claim one request. It decides and does no
 * I/O: the caller performs the {@link Step} asked for and reports the result, and the next step
 * follows. The order is: claim in the table service, and only then hand over. A claim is never
 * taken over by the passing of time, only after its owner wrote that it abandoned the request.
 *
 * <p>Not thread-safe. The model check in the tests runs this same class through every interleaving.
 *
 * @since 0.1
 */
public final class ClaimProtocol {
    /** Tells the caller what to do next. */
    public enum Step {
        /** Insert {@link #row()} if the key is absent. */
        INSERT,
        /** Replace the row last seen by {@link #row()} if it is unchanged. */
        REPLACE,
        /** Read the row. */
        READ,
        /** Hand the request over: this attempt alone may. */
        RUN,
        /** Give back the answer in {@link #seen()}. */
        REPLAY,
        /** Join this sidecar's own earlier attempt, which still runs or is kept. */
        JOIN,
        /** Say "not run", and name the owner to ask. */
        ASK_OWNER,
        /** Say "not run": the table service cannot be asked. */
        NOT_RUN,
        /** Say "may have run": the owner that knew has been restarted. */
        MAY_HAVE_RUN,
        /** Refuse: the id belongs to another request. */
        ID_REUSED
    }

    /** Answers what a sidecar knows of its own attempts. */
    @FunctionalInterface
    public interface OwnAttempts {
        /** Returns how the attempt with this nonce stands in this incarnation. */
        OwnState of(String nonce);
    }

    /** Says how a sidecar's own attempt stands. */
    public enum OwnState {
        /** It may still hand the request over, or has. */
        ACTIVE,
        /** It never handed the request over and never will. */
        ABANDONED,
        /** It is not known: it was of an earlier incarnation. */
        UNKNOWN
    }

    private final ClaimRow mMine;
    private final OwnAttempts mOwn;
    private ClaimRow mSeen;
    private boolean mReadBack;

    private ClaimProtocol(ClaimRow mine, OwnAttempts own) {
        mMine = mine;
        mOwn = own;
    }

    /** Starts a claim with the row to be written; its nonce must be fresh. */
    public static ClaimProtocol of(ClaimRow mine, OwnAttempts own) {
        return new ClaimProtocol(mine, own);
    }

    /** Returns the first step. */
    public Step start() {
        return Step.INSERT;
    }

    /** Returns the row that claims the request for this attempt. */
    public ClaimRow row() {
        return mMine;
    }

    /** Returns the row seen last. */
    public Optional<ClaimRow> seen() {
        return Optional.ofNullable(mSeen);
    }

    /** Takes in that a write took effect. */
    public Step onApplied() {
        return Step.RUN;
    }

    /** Takes in that a write was refused since the row was otherwise, and how it is. */
    public Step onConflict(Optional<ClaimRow> now) {
        return judge(now);
    }

    /** Takes in that a write's answer was lost: it may have taken effect, now or yet. */
    public Step onUnknown() {
        if (mReadBack) {
            return Step.NOT_RUN;
        }
        mReadBack = true;
        return Step.READ;
    }

    /** Takes in a row that was read. */
    public Step onRead(Optional<ClaimRow> now) {
        return judge(now);
    }

    /** Takes in that reading failed. */
    public Step onReadFailed() {
        return Step.NOT_RUN;
    }

    private Step judge(Optional<ClaimRow> now) {
        if (now.isEmpty()) {
            // The write may still arrive, so it is not sent again: a late one would only leave a
            // claim that this sidecar knows it abandoned.
            return Step.NOT_RUN;
        }
        mSeen = now.get();
        if (mSeen.nonce().equals(mMine.nonce())) {
            return mSeen.state() == ClaimRow.State.CLAIMED ? Step.RUN : Step.MAY_HAVE_RUN;
        }
        if (!mSeen.fingerprint().equals(mMine.fingerprint())) {
            return Step.ID_REUSED;
        }
        return switch (mSeen.state()) {
            case DONE -> Step.REPLAY;
            case ABANDONED -> Step.REPLACE;
            case CLAIMED -> judgeClaimed();
        };
    }

    private Step judgeClaimed() {
        if (!mSeen.owner().equals(mMine.owner())) {
            return Step.ASK_OWNER;
        }
        if (mSeen.incarnation() != mMine.incarnation()) {
            return Step.MAY_HAVE_RUN;
        }
        return switch (mOwn.of(mSeen.nonce())) {
            case ACTIVE -> Step.JOIN;
            case ABANDONED -> Step.REPLACE;
            case UNKNOWN -> Step.MAY_HAVE_RUN;
        };
    }
}
