package org.forkseam.direct.io;

/** Waits for a connection. Called on the event loop, once. */
public interface ConnectionUser {
    /** Takes a connection. */
    void onConnection(HttpConnection connection);

    /** Tells that there is none. */
    void onNone(BreakKind kind, String detail);
}
