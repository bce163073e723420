package org.forkseam.daemon.sidecar;

import com.google.protobuf.ByteString;

import org.forkseam.core.answer.ResponseBuffer;
import org.forkseam.core.outcome.AttemptFailure;
import org.forkseam.core.outcome.RefusalReason;
import org.forkseam.wire.Link;
import org.forkseam.wire.proto.End;
import org.forkseam.wire.proto.Frame;
import org.forkseam.wire.proto.Head;
import org.forkseam.wire.proto.LoadDigest;
import org.forkseam.wire.proto.Packet;
import org.forkseam.wire.proto.Refusal;

import java.util.List;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

/**
 * Sends one exchange's answer over one stream of a link, within the credit given. Used on the event
 * loop.
 */
final class Viewer {
    private final Link mLink;
    private final long mStream;
    private final Voice mVoice;
    private long mNext;
    private long mSentBytes;
    private long mAllowedBytes;
    private long mAcked;
    private boolean mHeadSent;
    private boolean mDone;

    /**
     * Holds what a sidecar says of itself with every answer.
     *
     * @param packets builders that name the version in force
     * @param digests the load, its own and a few others'
     * @param cacheLifetimeMillis how long its engine keeps a prefix, 0 if not known
     */
    record Voice(
            Supplier<Packet.Builder> packets,
            Supplier<List<LoadDigest>> digests,
            LongSupplier cacheLifetimeMillis) {}

    Viewer(Link link, long stream, long fromSequence, long window, Voice voice) {
        mLink = link;
        mStream = stream;
        mNext = fromSequence;
        mAcked = fromSequence;
        mAllowedBytes = window;
        mVoice = voice;
    }

    Link link() {
        return mLink;
    }

    long stream() {
        return mStream;
    }

    long acked() {
        return mAcked;
    }

    boolean isDone() {
        return mDone;
    }

    /** Takes credit in; the total only grows, so a credit that comes late or twice does no harm. */
    void onCredit(long totalBytes, long ackedSequence) {
        mAllowedBytes = Math.max(mAllowedBytes, totalBytes);
        mAcked = Math.max(mAcked, ackedSequence);
    }

    /** Returns bytes that wait for this viewer's credit. */
    int heldBytes(Exchange e) {
        ResponseBuffer b = e.buffer();
        int held = 0;
        for (long i = mNext; i < b.frameCount(); i++) {
            held += b.frame(i).length;
        }
        return held;
    }

    void pump(Exchange e) {
        if (mDone) {
            return;
        }
        if (!mHeadSent && e.status() != 0) {
            sendHead(e);
        }
        ResponseBuffer b = e.buffer();
        if (!b.has(mNext)) {
            refuse(
                    AttemptFailure.failed(
                            RefusalReason.NOT_KEPT, "the answer's beginning is not kept"));
            return;
        }
        while (mNext < b.frameCount() && mSentBytes < mAllowedBytes) {
            sendFrame(b.frame(mNext));
        }
        if (e.refused().isPresent() && !mHeadSent) {
            refuse(e.refused().get());
        } else if (e.isOver() && mNext == b.frameCount()) {
            sendEnd(e);
        }
    }

    private void sendHead(Exchange e) {
        mHeadSent = true;
        Head.Builder h =
                Head.newBuilder()
                        .setStream(mStream)
                        .setStatus(e.status())
                        .addAllHeaders(e.headers())
                        .setReplayed(e.isReplayed())
                        .setQueuedMillis((int) (e.startedMillis() - e.arrivedMillis()))
                        .addAllDigests(mVoice.digests().get());
        if (e.resumedFrom() >= 0) {
            h.setResumedFrom(e.resumedFrom());
        }
        mLink.send(mVoice.packets().get().setHead(h).build());
    }

    private void sendFrame(byte[] data) {
        Frame f =
                Frame.newBuilder()
                        .setStream(mStream)
                        .setSequence(mNext)
                        .setData(ByteString.copyFrom(data))
                        .build();
        mLink.send(mVoice.packets().get().setFrame(f).build());
        mNext++;
        mSentBytes += data.length;
    }

    private void sendEnd(Exchange e) {
        mDone = true;
        End.Builder end =
                End.newBuilder()
                        .setStream(mStream)
                        .setFrameCount(e.buffer().frameCount())
                        .setChecksum(e.buffer().checksum())
                        .setPromptTokens(e.usage().promptTokens())
                        .setCachedTokens(e.usage().cachedTokens())
                        .setCacheLifetimeSeconds(
                                (int) (mVoice.cacheLifetimeMillis().getAsLong() / 1000))
                        .addAllDigests(mVoice.digests().get());
        e.refused().ifPresent(r -> end.setError(r.reason().name() + ": " + r.detail()));
        mLink.send(mVoice.packets().get().setEnd(end).build());
    }

    /** Ends the stream without an answer. */
    void refuse(AttemptFailure r) {
        mDone = true;
        Refusal.Builder b =
                Refusal.newBuilder()
                        .setStream(mStream)
                        .setKind(r.kind().name())
                        .setReason(r.reason().name())
                        .setRetryAfterMillis(r.retryAfterMillis())
                        .setOwner(r.owner())
                        .setDetail(r.detail())
                        .addAllDigests(mVoice.digests().get());
        mLink.send(mVoice.packets().get().setRefusal(b).build());
    }
}
