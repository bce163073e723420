package org.forkseam.core.traffic;

/**
 * Retry semantics of a route's requests.
 *
 * @since 0.2
 */
public enum RouteKind {
    /** Requests may run more than once. */
    REPEATABLE(true, false),
    /** Requests run at most once. */
    UNREPEATABLE(false, false),
    /** The response is an event stream; requests run at most once. */
    STREAMED(false, true),
    /** The response is an event stream that another target can resume. */
    RESUMABLE(true, true);

    private final boolean mRepeatable;
    private final boolean mStream;

    RouteKind(boolean repeatable, boolean stream) {
        mRepeatable = repeatable;
        mStream = stream;
    }

    /** Returns whether a request may be sent to a second target after the first may have run it. */
    public boolean isRepeatable() {
        return mRepeatable;
    }

    /** Returns whether the response is an event stream. */
    public boolean isStream() {
        return mStream;
    }
}
