package org.forkseam.direct.io;

/** Waits for a connection. Called on the event loop, once. */
public interface ConnectionCallback {
    /** Takes a connection. */
    void onConnection(HttpConnection connection);

    /** Tells that there is none. */
    void onConnectionFailed(ExchangeFailure kind, String detail);
}
