package org.forkseam.direct.flow;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;

import java.util.Locale;
import java.util.Optional;

/**
 * Forwards the stream that a caller receives, to which several attempts may contribute. Used on the
 * event loop.
 */
final class StreamRelay {
    private final RouterContext mContext;
    private final ResponseSink mSink;
    private StreamPosition mPosition = StreamPosition.after(Optional.empty());
    private RepeatedEvents mRepeated = RepeatedEvents.after(mPosition);
    private HttpResponse mHead;
    private boolean mResumable;
    private long mProgressAt;

    StreamRelay(RouterContext context, ResponseSink sink) {
        mContext = context;
        mSink = sink;
    }

    /**
     * Lets other targets continue the stream.
     *
     * @param lastEventId the last event that the caller has received in an earlier response
     */
    void resumeAfter(Optional<String> lastEventId) {
        mResumable = true;
        mPosition = StreamPosition.after(lastEventId);
    }

    /** Returns whether a part of the response was sent to the caller. */
    boolean isStarted() {
        return mHead != null;
    }

    /**
     * Returns for how long the attempt has brought no event, of which comments are none: callers
     * give up a stream by its events. Until the first event, comments show that the target works on
     * it.
     */
    long pauseMillis(Attempt a, long now) {
        boolean working = mProgressAt == 0 || a.hasPartialEvent();
        return working ? a.silentMillis(now) : a.readingMillis(mProgressAt, now);
    }

    /** Returns the position of the caller. */
    StreamPosition position() {
        return mPosition;
    }

    /** Returns the memory of what is kept to continue the stream. */
    long keptBytes() {
        return mPosition.keptBytes();
    }

    /** Returns whether a successful response can start the stream, or continue it. */
    boolean accepts(HttpResponse head) {
        return !isStarted()
                || head.status().equals(mHead.status()) && mediaType(head).equals(mediaType(mHead));
    }

    private static String mediaType(HttpResponse head) {
        CharSequence type = HttpUtil.getMimeType(head);
        return type == null ? "" : type.toString().strip().toLowerCase(Locale.ROOT);
    }

    /** Sends the head of the response. */
    void start(HttpResponse head) {
        mHead = head;
        mSink.writeHead(mContext.responses().streamHead(head));
    }

    /** Called before an attempt, which continues at the current position. */
    void onAttempt() {
        mRepeated = RepeatedEvents.after(mPosition);
    }

    /** Returns whether the stream may end where the response to the current attempt ends. */
    boolean mayEnd() {
        return mRepeated.mayEnd();
    }

    /**
     * Returns those of the given complete events that the caller has not received; empty if they do
     * not continue the stream.
     */
    Optional<byte[]> unseen(byte[] events) {
        Optional<byte[]> unseen = mRepeated.remove(events);
        if (unseen.isPresent() && unseen.get().length == 0) {
            mProgressAt = mContext.now(); // repeated events lead to the position
        }
        return unseen;
    }

    /** Forwards events; there has to be one, as an empty chunk would end the response. */
    void forward(byte[] events) {
        if (mResumable && mPosition.onForwarded(events)) {
            mProgressAt = mContext.now();
        }
        mSink.writeBody(Unpooled.wrappedBuffer(events));
    }
}
