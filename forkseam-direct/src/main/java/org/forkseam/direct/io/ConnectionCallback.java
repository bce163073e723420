package org.forkseam.direct.io;

/** Receives a connection or a failure. Called once, on the event loop. */
public interface ConnectionCallback {
    /** Called with the connection. */
    void onConnection(HttpConnection connection);

    /** Called when no connection is available. */
    void onConnectionFailed(ExchangeFailure failure, String detail);
}
