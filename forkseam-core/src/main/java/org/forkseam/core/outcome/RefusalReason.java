package org.forkseam.core.outcome;

/** Reason why a request was refused, deferred or aborted. */
public enum RefusalReason {
    /** No routing intent matches the request. */
    NO_INTENT(404, "no routing intent matches the request's labels"),
    /** The pool's selector matches no target. */
    NO_TARGET(503, "the pool's selector finds no target"),
    /** The team's quota is exhausted. */
    OVER_QUOTA(429, "the team's quota is used up"),
    /** The target is leaving or drained. */
    LEAVING(503, "the target is leaving and takes no new work"),
    /** The target would exceed its multiple of the pool's mean load. */
    OVER_BOUND(503, "the target would exceed its multiple of the pool's mean load"),
    /** The target's queue is full. */
    QUEUE_FULL(503, "the target's queue is full"),
    /** The request was evicted from a full queue in favor of another team. */
    FAIR_SHARE(503, "the team holds more than its fair share of a full queue"),
    /** The request cannot start before its deadline. */
    DEADLINE(504, "the request could not start before its deadline"),
    /** The caller cancelled the request. */
    CANCELLED(499, "the caller cancelled the request"),
    /** The target's sidecar cannot be reached. */
    UNREACHABLE(503, "the target's sidecar cannot be reached"),
    /** The target itself refused the connection. */
    TARGET_DOWN(503, "the target does not accept connections"),
    /** The connection was lost after the request was sent. */
    CUT(502, "the connection was cut after the request was handed over"),
    /** The target's response was aborted. */
    BROKEN_ANSWER(502, "the target broke its answer off"),
    /** The sidecar does not know the attempt. */
    UNKNOWN_ATTEMPT(502, "the sidecar does not know this attempt"),
    /** The table service is unavailable, so no claim can be made. */
    STORE_DOWN(
            503, "the table service is unreachable, so an unrepeatable request cannot be claimed"),
    /** Another sidecar has claimed the request. */
    CLAIMED_ELSEWHERE(409, "another target has claimed this request"),
    /** The request id was used for a different request. */
    ID_REUSED(409, "the request id belongs to a different request"),
    /** The request is older than the retention time of claims. */
    TOO_OLD(410, "the request is older than claims are kept"),
    /** An unrepeatable request has no request id set by its caller. */
    NO_REQUEST_ID(400, "an unrepeatable request needs a request id of the caller's own"),
    /** The retry budget is exhausted. */
    NO_BUDGET(503, "the router's retry budget is used up"),
    /** The request ran, but its response is no longer stored. */
    NOT_KEPT(409, "the request ran; its answer is not kept any more");

    private final int mStatus;
    private final String mText;

    RefusalReason(int status, String text) {
        mStatus = status;
        mText = text;
    }

    /** Returns the HTTP status returned to the caller. */
    public int status() {
        return mStatus;
    }

    /** Returns the description returned to the caller. */
    public String text() {
        return mText;
    }

    /** Returns whether the target failed, as opposed to being full or leaving. */
    public boolean isFailure() {
        return this == UNREACHABLE || this == TARGET_DOWN || this == CUT || this == BROKEN_ANSWER;
    }
}
