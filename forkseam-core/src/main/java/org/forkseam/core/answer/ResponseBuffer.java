package org.forkseam.core.answer;

import java.util.ArrayList;
import java.util.List;

/**
 * Buffers the frames of a response on the sidecar for retransmission.
 *
 * <p>Limited to {@code maxBytes}: beyond that, frames acknowledged by the router are dropped and
 * the response can no longer be replayed from its start. Not thread-safe.
 *
 * @since 0.1
 */
public final class ResponseBuffer {
    private final int mMaxBytes;
    private final List<byte[]> mFrames = new ArrayList<>();
    private final Checksum mChecksum = new Checksum();
    private long mDropped;
    private long mAcked;
    private int mBytes;
    private boolean mEnded;

    private ResponseBuffer(int maxBytes) {
        mMaxBytes = maxBytes;
    }

    /** Creates an empty buffer. */
    public static ResponseBuffer of(int maxBytes) {
        return new ResponseBuffer(maxBytes);
    }

    /** Creates a buffer whose first frame has the given sequence number. */
    public static ResponseBuffer from(long firstSequence, int maxBytes) {
        ResponseBuffer b = new ResponseBuffer(maxBytes);
        b.mDropped = firstSequence;
        return b;
    }

    /** Appends a frame and returns its sequence number. */
    public long append(byte[] data) {
        mFrames.add(data);
        mBytes += data.length;
        mChecksum.add(data);
        trim();
        return mDropped + mFrames.size() - 1;
    }

    /** Records that the router has received all frames below a sequence number. */
    public void ack(long sequence) {
        mAcked = Math.max(mAcked, sequence);
        trim();
    }

    private void trim() {
        while (mBytes > mMaxBytes && mDropped < mAcked && !mFrames.isEmpty()) {
            mBytes -= mFrames.remove(0).length;
            mDropped++;
        }
    }

    /** Marks the response as complete. */
    public void end() {
        mEnded = true;
    }

    /** Returns whether the response is complete. */
    public boolean isEnded() {
        return mEnded;
    }

    /** Returns whether the frame is buffered or is the next to be appended. */
    public boolean has(long sequence) {
        return sequence >= mDropped && sequence <= frameCount();
    }

    /** Returns a buffered frame. */
    public byte[] frame(long sequence) {
        return mFrames.get((int) (sequence - mDropped));
    }

    /** Returns the number of frames appended so far. */
    public long frameCount() {
        return mDropped + mFrames.size();
    }

    /** Returns the checksum over all frames appended so far. */
    public long checksum() {
        return mChecksum.value();
    }

    /** Returns the size of the buffered frames in bytes. */
    public int bytes() {
        return mBytes;
    }
}
