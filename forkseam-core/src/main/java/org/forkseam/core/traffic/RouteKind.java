package org.forkseam.core.traffic;

/**
 * Says what may be done with a request of a route after an attempt has failed.
 *
 * @since 0.2
 */
public enum RouteKind {
    /** May run more than once. */
    REPEATABLE(true, false),
    /** Runs at most once. */
    UNREPEATABLE(false, false),
    /** Is answered by a stream of events and runs at most once. */
    STREAMED(false, true),
    /** Is answered by a stream of events that another target can continue. */
    RESUMABLE(true, true);

    private final boolean mRepeatable;
    private final boolean mStream;

    RouteKind(boolean repeatable, boolean stream) {
        mRepeatable = repeatable;
        mStream = stream;
    }

    /** Returns whether a second target may run the request after the first may have run it. */
    public boolean isRepeatable() {
        return mRepeatable;
    }

    /** Returns whether the answer is a stream of events. */
    public boolean isStream() {
        return mStream;
    }
}
