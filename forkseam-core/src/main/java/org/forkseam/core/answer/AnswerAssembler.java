package org.forkseam.core.answer;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;

/**
 * Puts an answer's frames in order on the router and tells whether the answer is whole.
 *
 * <p>Frames may come late, twice, out of order or over several connections. A frame goes out once,
 * after all before it. The answer is whole only when every frame up to the count in its end has
 * gone out and the checksum fits. Not thread-safe; one for each attempt.
 *
 * @since 0.1
 */
public final class AnswerAssembler {
    /** Frames held back for an earlier one, at most. */
    static final int MAX_HELD = 4096;

    /** Says how far an answer has come. */
    public enum State {
        /** More frames are to come. */
        OPEN,
        /** Every frame came and the checksum fits. */
        WHOLE,
        /** The frames do not make up the answer that its end describes. */
        BROKEN
    }

    private final TreeMap<Long, byte[]> mHeld = new TreeMap<>();
    private Checksum mChecksum = new Checksum();
    private long mNext;
    private long mCount = -1;
    private long mExpected;
    private boolean mBroken;

    /** Takes a frame in and returns the data that may go to the caller now, in order. */
    public List<byte[]> onFrame(long sequence, byte[] data) {
        List<byte[]> ready = new ArrayList<>(1);
        if (sequence < mNext || mHeld.containsKey(sequence)) {
            return ready;
        }
        if (mHeld.size() >= MAX_HELD || (mCount >= 0 && sequence >= mCount)) {
            mBroken = true;
            return ready;
        }
        mHeld.put(sequence, data);
        for (byte[] d = mHeld.remove(mNext); d != null; d = mHeld.remove(mNext)) {
            mChecksum.add(d);
            ready.add(d);
            mNext++;
        }
        return ready;
    }

    /** Takes the answer's end in. */
    public void onEnd(long frameCount, long checksum) {
        mCount = frameCount;
        mExpected = checksum;
        if (mNext > frameCount) {
            mBroken = true;
        }
    }

    /** Starts the checksum anew: the sender knows only the frames that are still missing. */
    public void onResumedElsewhere() {
        mChecksum = new Checksum();
        mHeld.clear();
    }

    /** Returns how far the answer has come. */
    public State state() {
        if (mBroken) {
            return State.BROKEN;
        }
        if (mCount < 0 || mNext < mCount) {
            return State.OPEN;
        }
        return mChecksum.value() == mExpected ? State.WHOLE : State.BROKEN;
    }

    /** Returns the sequence of the first frame that is missing. */
    public long nextSequence() {
        return mNext;
    }
}
