package org.forkseam.direct.flow;

import io.netty.handler.codec.http.HttpResponse;

import java.util.Optional;

/** Receives the progress and the result of an attempt. Called on the event loop. */
interface AttemptListener {
    /** Returns whether the request has finished or its caller has disconnected. */
    boolean isDone();

    /** Returns whether the request may still be sent to a target. */
    boolean maySend();

    /** Returns whether the caller has received a part of a stream, from any attempt. */
    boolean isStreamStarted();

    /** Returns whether a successful response can start or continue the caller's stream. */
    boolean acceptsStream(HttpResponse head);

    /** Called when a streamed response starts. */
    void onStreamStarted(Attempt attempt);

    /**
     * Returns those of the given complete events that the caller has not received; empty if they do
     * not continue the caller's stream.
     */
    Optional<byte[]> unseenEvents(byte[] events);

    /** Called with events that the caller has not received. */
    void onEvents(Attempt attempt, byte[] events);

    /** Returns whether the stream may end where the response to the attempt ends. */
    boolean mayEndStream();

    /** Returns the memory of what is kept of the stream to continue it. */
    long keptStreamBytes();

    /** Called once with the result; no other call follows. */
    void onAttemptEnded(Attempt attempt, AttemptResult result);
}
