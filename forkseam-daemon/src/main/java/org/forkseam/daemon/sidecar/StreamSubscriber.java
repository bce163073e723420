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
 * Sends an exchange's response over one stream of a link, within the credit that the router
 * granted. Not thread-safe; used on the event loop.
 */
final class StreamSubscriber {
    private final Link mLink;
    private final long mStream;
    private final SidecarStatus mSidecarStatus;
    private long mNextSequence;
    private long mSentBytes;
    private long mCreditBytes;
    private long mAckedSequence;
    private boolean mHeadSent;
    private boolean mDone;

    /**
     * Sidecar state that is sent with every response.
     *
     * @param packets creates packet builders that carry the current configuration version
     * @param digests load digests of this target and a few others
     * @param cacheLifetimeMillis estimated lifetime of a prefix in the engine's cache, 0 if unknown
     */
    record SidecarStatus(
            Supplier<Packet.Builder> packets,
            Supplier<List<LoadDigest>> digests,
            LongSupplier cacheLifetimeMillis) {}

    StreamSubscriber(
            Link link, long stream, long fromSequence, long window, SidecarStatus sidecarStatus) {
        mLink = link;
        mStream = stream;
        mNextSequence = fromSequence;
        mAckedSequence = fromSequence;
        mCreditBytes = window;
        mSidecarStatus = sidecarStatus;
    }

    Link link() {
        return mLink;
    }

    long stream() {
        return mStream;
    }

    long ackedSequence() {
        return mAckedSequence;
    }

    boolean isDone() {
        return mDone;
    }

    /** Applies credit. Totals are cumulative, so late or duplicate credits have no effect. */
    void onCredit(long totalBytes, long ackedSequence) {
        mCreditBytes = Math.max(mCreditBytes, totalBytes);
        mAckedSequence = Math.max(mAckedSequence, ackedSequence);
    }

    /** Returns the buffered bytes not yet sent to this subscriber. */
    int unsentBytes(Exchange e) {
        ResponseBuffer b = e.buffer();
        int unsent = 0;
        for (long i = mNextSequence; i < b.frameCount(); i++) {
            unsent += b.frame(i).length;
        }
        return unsent;
    }

    void flush(Exchange e) {
        if (mDone) {
            return;
        }
        if (!mHeadSent && e.status() != 0) {
            sendHead(e);
        }
        ResponseBuffer b = e.buffer();
        if (!b.has(mNextSequence)) {
            refuse(
                    AttemptFailure.failed(
                            RefusalReason.NOT_KEPT, "the answer's beginning is not kept"));
            return;
        }
        while (mNextSequence < b.frameCount() && mSentBytes < mCreditBytes) {
            sendFrame(b.frame(mNextSequence));
        }
        if (e.refusal().isPresent() && !mHeadSent) {
            refuse(e.refusal().get());
        } else if (e.isEnded() && mNextSequence == b.frameCount()) {
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
                        .addAllDigests(mSidecarStatus.digests().get());
        if (e.resumedFrom() >= 0) {
            h.setResumedFrom(e.resumedFrom());
        }
        mLink.send(mSidecarStatus.packets().get().setHead(h).build());
    }

    private void sendFrame(byte[] data) {
        Frame f =
                Frame.newBuilder()
                        .setStream(mStream)
                        .setSequence(mNextSequence)
                        .setData(ByteString.copyFrom(data))
                        .build();
        mLink.send(mSidecarStatus.packets().get().setFrame(f).build());
        mNextSequence++;
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
                                (int) (mSidecarStatus.cacheLifetimeMillis().getAsLong() / 1000))
                        .addAllDigests(mSidecarStatus.digests().get());
        e.refusal().ifPresent(r -> end.setError(r.reason().name() + ": " + r.detail()));
        mLink.send(mSidecarStatus.packets().get().setEnd(end).build());
    }

    /** Ends the stream with a refusal. */
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
                        .addAllDigests(mSidecarStatus.digests().get());
        mLink.send(mSidecarStatus.packets().get().setRefusal(b).build());
    }
}
