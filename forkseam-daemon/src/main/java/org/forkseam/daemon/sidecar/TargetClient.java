package org.forkseam.daemon.sidecar;

import org.forkseam.wire.proto.Header;

import java.util.List;

/**
 * Client for one target. Used on the event loop, where listeners are called too.
 *
 * @since 0.1
 */
public interface TargetClient {
    /**
     * Sends a request to the target.
     *
     * @param request the request
     * @param listener receives the response
     */
    Call send(Request request, Listener listener);

    /** Resumes an engine's stream after the event with the given sequence number. */
    Call resume(String id, long fromSequence, Listener listener);

    /** Asks an engine to cancel a request. */
    void cancel(String id);

    /**
     * A request to the target.
     *
     * @param id identifies the request to the target, for resuming and cancelling
     * @param method HTTP method
     * @param path path with query
     * @param headers headers to forward
     * @param body the body, may be empty
     */
    record Request(String id, String method, String path, List<Header> headers, byte[] body) {}

    /** A request in flight. */
    interface Call {
        /** Resumes or pauses reading the response. */
        void setReading(boolean reading);

        /** Closes the connection. */
        void close();
    }

    /** Receives a response. The last three methods are terminal: no call follows them. */
    interface Listener {
        /** Receives status and headers. */
        void onHead(int status, List<Header> headers);

        /** Receives a chunk of the body. */
        void onData(byte[] data);

        /** Receives the regular end of the response. */
        void onEnd();

        /** Called if no connection could be opened, so the target never received the request. */
        void onNotSent(Exception cause);

        /** Called if the response was cut off, or if the target may have received the request. */
        void onFailed(Exception cause);
    }
}
