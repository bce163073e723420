package org.forkseam.direct.flow;

import org.forkseam.direct.io.EventScanner;

import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Removes from the response to one attempt the events that the caller has received from earlier
 * attempts. Used on the event loop.
 *
 * <p>A target that continues a stream sends all events after the last id again, also those without
 * an id that were forwarded already. One that sends older events as well has them removed by their
 * ids, and has to send those up to the position before it sends others or ends. Events with a known
 * id and other data belong to another run or numbering, which does not continue the stream. Neither
 * does one that begins too late or has gaps, where the ids count the events. Of ids from earlier
 * responses only the last is known; numbers up to it are older, since ids rise. A target that does
 * not send the known events without an id again is of another run. If no event had an id, the
 * stream starts from the beginning, and a target that sends other events than before does not
 * continue it.
 */
final class RepeatedEvents {
    /** Kind of an event of the response. */
    private enum Kind {
        /** The caller has it. */
        REPEATED,
        /** Has no id and comes before those that the caller has. */
        HELD,
        /** The caller does not have it. */
        NEW,
        /** Cannot follow what the caller has. */
        NOT_CONTINUING
    }

    private final Optional<String> mLastId;
    private final List<byte[]> mExpected;
    private final EventHistory mHistory;
    private final int mHistorySize;
    private final boolean mFromBeginning;
    private final boolean mOrderedByNumbers;
    private final boolean mCounted;

    /** Events without id that came before the expected ones. */
    private final ByteArrayOutputStream mHeld = new ByteArrayOutputStream(0);

    /** The highest number that the next event may have; empty if the ids do not count. */
    private OptionalLong mNextNumber;

    private boolean mPassed;
    private boolean mAmongOlder;

    private RepeatedEvents(StreamPosition position) {
        mLastId = position.lastEventId();
        mExpected = new ArrayList<>(position.unidentified());
        mHistory = position.history();
        mHistorySize = mHistory.size();
        mNextNumber = position.nextNumber();
        mCounted = position.isCounted();
        mFromBeginning = mLastId.isEmpty();
        mOrderedByNumbers = position.isOrderedByNumbers();
        mPassed = mFromBeginning && mExpected.isEmpty();
    }

    /** Creates a filter for an attempt that continues at the given position. */
    static RepeatedEvents after(StreamPosition position) {
        return new RepeatedEvents(position);
    }

    /**
     * Returns the events that the caller has not received; empty if the response does not continue
     * the stream.
     */
    Optional<byte[]> remove(byte[] events) {
        if (mPassed && mHistorySize == 0) {
            return Optional.of(events);
        }
        ByteArrayOutputStream rest = new ByteArrayOutputStream(events.length);
        EventScanner s = EventScanner.of(events);
        while (s.next()) {
            byte[] event = Arrays.copyOfRange(events, s.start(), s.end());
            switch (classify(event, s)) {
                case NOT_CONTINUING -> {
                    return Optional.empty();
                }
                case HELD -> mHeld.writeBytes(event);
                case NEW -> {
                    releaseHeld(rest);
                    rest.writeBytes(event);
                }
                default -> {} // repeated
            }
        }
        releaseHeld(rest);
        return Optional.of(rest.toByteArray());
    }

    private Kind classify(byte[] event, EventScanner s) {
        Optional<String> id = s.id();
        if (id.isPresent() && isKnown(id.get(), s)) {
            mAmongOlder = !id.equals(mLastId);
            return Kind.REPEATED;
        }
        if (id.isPresent() && isOfAnotherRun(id.get())) {
            return Kind.NOT_CONTINUING;
        }
        boolean countsAsEvent = s.hasData() || id.isPresent();
        if (countsAsEvent && !mPassed) {
            if (isRepeated(event, id)) {
                return Kind.REPEATED;
            }
            if (!isPositionReached()) {
                return mayHold(event, id) ? Kind.HELD : Kind.NOT_CONTINUING;
            }
            if (mAmongOlder) {
                return Kind.NOT_CONTINUING;
            }
        }
        if (countsAsEvent && skipsNumbers(id)) {
            return Kind.NOT_CONTINUING;
        }
        mPassed |= id.isPresent() && isPositionReached();
        return Kind.NEW;
    }

    /** Returns whether the caller has the event; one without data only names a position. */
    private boolean isKnown(String id, EventScanner s) {
        return s.hasData()
                ? mHistory.hasEvent(id, s.dataHash(), mHistorySize)
                : mHistory.hasId(id, mHistorySize);
    }

    private void releaseHeld(ByteArrayOutputStream out) {
        if (isPositionReached()) {
            out.writeBytes(mHeld.toByteArray());
            mHeld.reset();
        }
    }

    /**
     * Returns whether the stream may end where the response ends: not before the caller's position.
     * An empty response claims that nothing follows; one that ends among older events does not.
     */
    boolean mayEnd() {
        return isPositionReached() && (mPassed || !mAmongOlder);
    }

    /** Returns whether the events without id that the caller has have come again. */
    private boolean isPositionReached() {
        return mExpected.isEmpty();
    }

    /**
     * Returns whether an event without id may come before those that are expected: targets may send
     * such events at any time, but not in place of those that the caller has.
     */
    private boolean mayHold(byte[] event, Optional<String> id) {
        return id.isEmpty()
                && !mFromBeginning
                && mHeld.size() + event.length <= StreamPosition.MAX_UNIDENTIFIED_BYTES;
    }

    /** Returns whether an event with unknown data cannot follow those that were forwarded. */
    private boolean isOfAnotherRun(String id) {
        boolean mayShare = mHistory.sharesIds() && mLastId.equals(Optional.of(id));
        return !mayShare && mHistory.hasId(id, mHistorySize);
    }

    /**
     * Returns whether events are missing before a new one. Events without an id may have taken a
     * number each. Beyond the first new event, only if enough events were counted.
     */
    private boolean skipsNumbers(Optional<String> id) {
        if (mNextNumber.isEmpty()) {
            return false;
        }
        long next = mNextNumber.getAsLong();
        if (id.isEmpty()) {
            mNextNumber = OptionalLong.of(next + 1);
            return false;
        }
        OptionalLong number = EventNumbering.parse(id.get());
        if (number.isPresent() && number.getAsLong() > next) {
            return true;
        }
        mNextNumber =
                number.isPresent() && mCounted
                        ? OptionalLong.of(number.getAsLong() + 1)
                        : OptionalLong.empty();
        return false;
    }

    private boolean isRepeated(byte[] event, Optional<String> id) {
        if (id.isEmpty()) {
            return mAmongOlder || skipExpected(event);
        }
        if (mLastId.isEmpty() || !isUpTo(id.get(), mLastId.get())) {
            return false;
        }
        if (id.equals(mLastId) && mHistorySize > 0) {
            return false; // a further event of the last id
        }
        mAmongOlder = !id.equals(mLastId);
        return true;
    }

    private boolean isUpTo(String id, String last) {
        OptionalLong number = EventNumbering.parse(id);
        OptionalLong lastNumber = EventNumbering.parse(last);
        return id.equals(last)
                || mOrderedByNumbers
                        && number.isPresent()
                        && lastNumber.isPresent()
                        && number.getAsLong() <= lastNumber.getAsLong();
    }

    /** Removes an expected event and those before it; returns false if there is none like it. */
    private boolean skipExpected(byte[] event) {
        int candidates = mFromBeginning ? Math.min(1, mExpected.size()) : mExpected.size();
        for (int i = 0; i < candidates; i++) {
            if (Arrays.equals(mExpected.get(i), event)) {
                mExpected.subList(0, i + 1).clear();
                return true;
            }
        }
        return false;
    }
}
