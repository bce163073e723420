package org.forkseam.core.outcome;

/** Names why a request was held back, refused or broken off. */
public enum RefusalReason {
    /** No routing intent matches the request. */
    NO_INTENT(404, "no routing intent matches the request's labels"),
    /** The pool has no target. */
    NO_TARGET(503, "the pool's selector finds no target"),
    /** The team's quota is used up. */
    OVER_QUOTA(429, "the team's quota is used up"),
    /** The target is leaving or drained. */
    LEAVING(503, "the target is leaving and takes no new work"),
    /** The target would carry more than its multiple of the mean. */
    OVER_BOUND(503, "the target would exceed its multiple of the pool's mean load"),
    /** The target's queue is full. */
    QUEUE_FULL(503, "the target's queue is full"),
    /** A fuller team's request was pushed out by another team's. */
    FAIR_SHARE(503, "the team holds more than its fair share of a full queue"),
    /** The request cannot start before its deadline. */
    DEADLINE(504, "the request could not start before its deadline"),
    /** The caller went away. */
    CANCELLED(499, "the caller cancelled the request"),
    /** The target's sidecar cannot be reached. */
    UNREACHABLE(503, "the target's sidecar cannot be reached"),
    /** The target itself refused the connection. */
    TARGET_DOWN(503, "the target does not accept connections"),
    /** The connection was cut after the hand-over. */
    CUT(502, "the connection was cut after the request was handed over"),
    /** The target broke its answer off. */
    BROKEN_ANSWER(502, "the target broke its answer off"),
    /** The sidecar does not know the attempt. */
    UNKNOWN_ATTEMPT(502, "the sidecar does not know this attempt"),
    /** The table service gave no answer, so that a claim cannot be made. */
    STORE_DOWN(
            503, "the table service is unreachable, so an unrepeatable request cannot be claimed"),
    /** Another sidecar claimed the same request. */
    CLAIMED_ELSEWHERE(409, "another target has claimed this request"),
    /** The request id was used for a different request. */
    ID_REUSED(409, "the request id belongs to a different request"),
    /** The request is older than claims are kept. */
    TOO_OLD(410, "the request is older than claims are kept"),
    /** An unrepeatable request came without an id of the caller's own. */
    NO_REQUEST_ID(400, "an unrepeatable request needs a request id of the caller's own"),
    /** The retry budget is used up. */
    NO_BUDGET(503, "the router's retry budget is used up"),
    /** The answer is larger than is kept for a repeat. */
    NOT_KEPT(409, "the request ran; its answer is not kept any more");

    private final int mStatus;
    private final String mText;

    RefusalReason(int status, String text) {
        mStatus = status;
        mText = text;
    }

    /** Returns the HTTP status that callers see. */
    public int status() {
        return mStatus;
    }

    /** Returns the reason in plain words. */
    public String text() {
        return mText;
    }

    /** Returns whether the target was at fault, rather than full or leaving. */
    public boolean isFailure() {
        return this == UNREACHABLE || this == TARGET_DOWN || this == CUT || this == BROKEN_ANSWER;
    }
}
