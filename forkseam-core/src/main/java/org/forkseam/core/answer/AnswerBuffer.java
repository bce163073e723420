package org.forkseam.core.answer;

import java.util.ArrayList;
import java.util.List;

/**
 * Keeps an answer's frames on the sidecar, so that any part can be sent again.
 *
 * <p>Bounded by {@code maxBytes}: past that the frames that the router has acknowledged are let go,
 * and the answer can no longer be replayed from its start. Not thread-safe.
 *
 * @since 0.1
 */
public final class AnswerBuffer {
    private final int mMaxBytes;
    private final List<byte[]> mFrames = new ArrayList<>();
    private final Checksum mChecksum = new Checksum();
    private long mDropped;
    private long mAcked;
    private int mBytes;
    private boolean mEnded;

    private AnswerBuffer(int maxBytes) {
        mMaxBytes = maxBytes;
    }

    /** Creates an empty buffer. */
    public static AnswerBuffer of(int maxBytes) {
        return new AnswerBuffer(maxBytes);
    }

    /** Creates a buffer whose first frame has a sequence greater than 0. */
    public static AnswerBuffer from(long firstSequence, int maxBytes) {
        AnswerBuffer b = new AnswerBuffer(maxBytes);
        b.mDropped = firstSequence;
        return b;
    }

    /** Appends a frame and returns its sequence. */
    public long append(byte[] data) {
        mFrames.add(data);
        mBytes += data.length;
        mChecksum.add(data);
        trim();
        return mDropped + mFrames.size() - 1;
    }

    /** Notes that the router has all frames below a sequence. */
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

    /** Marks the answer as whole. */
    public void end() {
        mEnded = true;
    }

    /** Returns whether the answer is whole. */
    public boolean isEnded() {
        return mEnded;
    }

    /** Returns whether the frame is still kept, or is the next to come. */
    public boolean has(long sequence) {
        return sequence >= mDropped && sequence <= frameCount();
    }

    /** Returns a frame that is kept. */
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

    /** Returns bytes kept. */
    public int bytes() {
        return mBytes;
    }
}
