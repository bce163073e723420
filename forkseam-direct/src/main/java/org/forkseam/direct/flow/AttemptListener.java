package org.forkseam.direct.flow;

import io.netty.buffer.ByteBuf;

/** Hears what becomes of an attempt. Called on the event loop. */
interface AttemptListener {
    /** Returns whether the request needs no target any more: it has ended, or its caller left. */
    boolean isDone();

    /** Returns whether a target may get the request now. */
    boolean maySend();

    /** Tells that an answer has begun which may be passed on as it comes. */
    void onStreamStarted(Attempt attempt);

    /** Tells of bytes of a stream, whole events only. */
    void onEvents(Attempt attempt, ByteBuf bytes);

    /** Tells how the attempt ended; nothing follows. */
    void onAttemptEnded(Attempt attempt, AttemptResult end);
}
