package org.forkseam.wire;

import org.forkseam.wire.proto.Packet;

import java.util.concurrent.atomic.LongAdder;

/** Traffic counters of a daemon's links, separating control from data. Thread-safe. */
public final class WireCounters {
    private final LongAdder mControlBytes = new LongAdder();
    private final LongAdder mDataBytes = new LongAdder();
    private final LongAdder mFrames = new LongAdder();
    private final LongAdder mRejectedPeers = new LongAdder();
    private final LongAdder mMalformed = new LongAdder();

    /** Returns the bytes of control traffic sent. */
    public long controlBytes() {
        return mControlBytes.sum();
    }

    /** Returns the bytes of requests and responses sent. */
    public long dataBytes() {
        return mDataBytes.sum();
    }

    /** Returns the number of response frames sent. */
    public long frames() {
        return mFrames.sum();
    }

    /** Returns the number of connections closed because the handshake failed or timed out. */
    public long rejectedPeers() {
        return mRejectedPeers.sum();
    }

    /** Returns the number of connections closed because of an oversized or undecodable packet. */
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
            case SUBMIT -> addPacketWithDigests(size, p.getSubmit().getDigestsList());
            case HEAD -> addPacketWithDigests(size, p.getHead().getDigestsList());
            case END -> addPacketWithDigests(size, p.getEnd().getDigestsList());
            case REFUSAL -> addPacketWithDigests(size, p.getRefusal().getDigestsList());
            case CANCEL, RESUME -> mDataBytes.add(size);
            default -> mControlBytes.add(size);
        }
    }

    /** Counts digests piggybacked on a data packet as control traffic. */
    private void addPacketWithDigests(
            int size, java.util.List<org.forkseam.wire.proto.LoadDigest> digests) {
        int control = 0;
        for (org.forkseam.wire.proto.LoadDigest d : digests) {
            control += d.getSerializedSize() + 2;
        }
        mControlBytes.add(control);
        mDataBytes.add(size - control);
    }
}
