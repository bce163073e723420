package org.forkseam.wire;

import org.forkseam.wire.proto.Packet;

import java.util.concurrent.atomic.LongAdder;

/** Counts what crosses the links of a daemon, control apart from requests and answers. */
public final class WireCounters {
    private final LongAdder mControlBytes = new LongAdder();
    private final LongAdder mDataBytes = new LongAdder();
    private final LongAdder mFrames = new LongAdder();
    private final LongAdder mRejectedPeers = new LongAdder();
    private final LongAdder mMalformed = new LongAdder();

    /** Returns bytes sent that are not part of requests and answers. */
    public long controlBytes() {
        return mControlBytes.sum();
    }

    /** Returns bytes of requests and answers sent. */
    public long dataBytes() {
        return mDataBytes.sum();
    }

    /** Returns answer frames sent. */
    public long frames() {
        return mFrames.sum();
    }

    /** Returns connections closed since the other side did not prove the key in time. */
    public long rejectedPeers() {
        return mRejectedPeers.sum();
    }

    /** Returns connections closed since a packet was oversized or could not be read. */
    public long malformed() {
        return mMalformed.sum();
    }

    void onRejectedPeer() {
        mRejectedPeers.increment();
    }

    void onMalformed() {
        mMalformed.increment();
    }

    void onSent(Packet p) {
        int size = p.getSerializedSize();
        switch (p.getBodyCase()) {
            case FRAME -> {
                mFrames.increment();
                mDataBytes.add(size);
            }
            case SUBMIT -> addWithDigests(size, p.getSubmit().getDigestsList());
            case HEAD -> addWithDigests(size, p.getHead().getDigestsList());
            case END -> addWithDigests(size, p.getEnd().getDigestsList());
            case REFUSAL -> addWithDigests(size, p.getRefusal().getDigestsList());
            case CANCEL, RESUME -> mDataBytes.add(size);
            default -> mControlBytes.add(size);
        }
    }

    /** Digests ride on data packets but are control traffic all the same. */
    private void addWithDigests(
            int size, java.util.List<org.forkseam.wire.proto.LoadDigest> digests) {
        int control = 0;
        for (org.forkseam.wire.proto.LoadDigest d : digests) {
            control += d.getSerializedSize() + 2;
        }
        mControlBytes.add(control);
        mDataBytes.add(size - control);
    }
}
