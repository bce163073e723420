package org.forkseam.daemon.sidecar;

import org.forkseam.wire.proto.Header;

import java.util.List;

/**
 * Speaks to one target. Used on the event loop; listeners are called there.
 *
 * @since 0.1
 */
public interface TargetClient {
    /**
     * Hands a request to the target.
     *
     * @param request what to send
     * @param listener told of everything that comes back
     */
    Call send(Request request, Listener listener);

    /** Takes up an engine's stream after its event of some sequence. */
    Call resume(String id, long fromSequence, Listener listener);

    /** Tells an engine to end its work on a request. */
    void cancel(String id);

    /**
     * Holds what goes to the target.
     *
     * @param id known to the target, for resuming and cancelling
     * @param method HTTP method
     * @param path path with query
     * @param headers headers to pass on
     * @param body the body, or empty
     */
    record Request(String id, String method, String path, List<Header> headers, byte[] body) {}

    /** Is a request under way. */
    interface Call {
        /** Lets more of the answer come in, or holds it back. */
        void setReading(boolean reading);

        /** Drops the connection. */
        void close();
    }

    /** Receives what comes back. After one of the last three methods nothing more comes. */
    interface Listener {
        /** Receives status and headers. */
        void onHead(int status, List<Header> headers);

        /** Receives a part of the body. */
        void onData(byte[] data);

        /** Receives the regular end of the answer. */
        void onEnd();

        /** Receives that the target never got the request: no connection could be opened. */
        void onNotSent(Exception cause);

        /** Receives that the answer broke off, or that it is not known whether there was any. */
        void onBroken(Exception cause);
    }
}
