package org.forkseam.core.answer;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;

/**
 * Reassembles the frames of a response on the router and verifies that the response is complete.
 *
 * <p>Frames may arrive late, duplicated, out of order or over several connections. Each frame is
 * released once and in order. The response is complete when all frames up to the announced count
 * have been released and the checksum matches. Not thread-safe; one instance per attempt.
 *
 * @since 0.1
 */
public final class ResponseAssembler {
    /** Maximum number of frames buffered until an earlier one arrives. */
    static final int MAX_BUFFERED_FRAMES = 4096;

    /** State of a response. */
    public enum State {
        /** More frames are expected. */
        OPEN,
        /** All frames have arrived and the checksum matches. */
        COMPLETE,
        /** The frames contradict the announced count or checksum. */
        BROKEN
    }

    private final TreeMap<Long, byte[]> mBuffered = new TreeMap<>();
    private Checksum mChecksum = new Checksum();
    private long mNext;
    private long mCount = -1;
    private long mExpectedChecksum;
    private boolean mBroken;

    /** Accepts a frame and returns the data that may now be sent to the caller, in order. */
    public List<byte[]> onFrame(long sequence, byte[] data) {
        List<byte[]> ready = new ArrayList<>(1);
        if (sequence < mNext || mBuffered.containsKey(sequence)) {
            return ready;
        }
        if (mBuffered.size() >= MAX_BUFFERED_FRAMES || (mCount >= 0 && sequence >= mCount)) {
            mBroken = true;
            return ready;
        }
        mBuffered.put(sequence, data);
        for (byte[] d = mBuffered.remove(mNext); d != null; d = mBuffered.remove(mNext)) {
            mChecksum.add(d);
            ready.add(d);
            mNext++;
        }
        return ready;
    }

    /** Accepts the announced frame count and checksum. */
    public void onEnd(long frameCount, long checksum) {
        mCount = frameCount;
        mExpectedChecksum = checksum;
        if (mNext > frameCount) {
            mBroken = true;
        }
    }

    /**
     * Resets the checksum, because a target that resumes the response knows only the remaining
     * frames.
     */
    public void onResumedElsewhere() {
        mChecksum = new Checksum();
        mBuffered.clear();
    }

    /** Returns the state of the response. */
    public State state() {
        if (mBroken) {
            return State.BROKEN;
        }
        if (mCount < 0 || mNext < mCount) {
            return State.OPEN;
        }
        return mChecksum.value() == mExpectedChecksum ? State.COMPLETE : State.BROKEN;
    }

    /** Returns the sequence number of the first missing frame. */
    public long nextSequence() {
        return mNext;
    }
}
