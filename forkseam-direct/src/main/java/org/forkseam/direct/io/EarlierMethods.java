package org.forkseam.direct.io;

import io.netty.handler.codec.http.HttpMethod;

/**
 * Tells whether responses to earlier requests on a connection have a body, by the methods of these
 * requests. Used on the event loop.
 */
final class EarlierMethods {
    private boolean mHead;
    private boolean mOther;

    /** Adds the method of a request. */
    void add(HttpMethod method) {
        if (HttpMethod.HEAD.equals(method)) {
            mHead = true;
        } else {
            mOther = true;
        }
    }

    /**
     * Returns whether a late response to one of the requests has a body.
     *
     * @throws IllegalArgumentException if the requests do not tell
     */
    boolean responseHasBody() {
        if (mHead && mOther) {
            throw new IllegalArgumentException("response to another request of unknown method");
        }
        return !mHead;
    }
}
