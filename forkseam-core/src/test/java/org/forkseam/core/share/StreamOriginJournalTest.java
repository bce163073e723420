package org.forkseam.core.share;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

import java.util.List;
import java.util.stream.IntStream;

/** Tests what the recorder of a partition of streams writes, and when. */
class StreamOriginJournalTest {
    private static final long START = 1_000_000;
    private static final long INTERVAL_MILLIS = 250;

    private final StreamOriginJournal mJournal = StreamOriginJournal.create();

    private StreamOriginJournal.Batch next(long at) {
        return mJournal.next(INTERVAL_MILLIS, at).orElseThrow();
    }

    @Test
    void writesAtMostOneBatchInAnInterval() {
        mJournal.add(new StreamOrigin(1, 70), START);
        assertThat(mJournal.delayMillis(START)).hasValue(StreamOriginJournal.COLLECT_MILLIS);
        mJournal.onWritten(next(START), START);
        assertThat(mJournal.delayMillis(START)).isEmpty();
        mJournal.add(new StreamOrigin(2, 70), START + 1);
        assertThat(mJournal.delayMillis(START + 1)).hasValue(INTERVAL_MILLIS - 1);
        assertThat(mJournal.next(INTERVAL_MILLIS, START + 1)).isEmpty();
        assertThat(next(START + INTERVAL_MILLIS).origins())
                .containsExactly(new StreamOrigin(2, 70));
    }

    /** Guards against a write for each of several reports of one stream. */
    @Test
    void streamIsWrittenOnce() {
        mJournal.add(new StreamOrigin(1, 70), START);
        mJournal.onWritten(next(START), START);
        mJournal.add(new StreamOrigin(1, 70), START + 1);
        assertThat(mJournal.delayMillis(START + 1)).isEmpty();
    }

    /** Guards against a confirmation of a stream that is not in the store. */
    @Test
    void streamCountsAsWrittenAfterItsBatchOnly() {
        mJournal.add(new StreamOrigin(1, 70), START);
        assertThat(mJournal.isWritten(1)).isFalse();
        mJournal.onFailed(next(START), START);
        assertThat(mJournal.isWritten(1)).isFalse();
        mJournal.onWritten(next(START + StreamOriginJournal.RETRY_MILLIS), START + 1_000);
        assertThat(mJournal.isWritten(1)).isTrue();
        assertThat(mJournal.isWritten(2)).isFalse();
    }

    /** Guards against streams that are lost with a failed write, and against a second in flight. */
    @Test
    void failedBatchIsWrittenAgain() {
        mJournal.add(new StreamOrigin(1, 70), START);
        StreamOriginJournal.Batch failed = next(START);
        mJournal.add(new StreamOrigin(2, 70), START + 500);
        assertThat(mJournal.next(INTERVAL_MILLIS, START + 500)).isEmpty();
        mJournal.onFailed(failed, START + 600);
        assertThat(mJournal.next(INTERVAL_MILLIS, START + 700)).isEmpty();
        assertThat(next(START + 600 + StreamOriginJournal.RETRY_MILLIS).origins()).hasSize(2);
    }

    /** Guards against a burst of old streams once the store is back after a long outage. */
    @Test
    void streamsThatHaveEndedAreNotWritten() {
        mJournal.add(new StreamOrigin(1, 70), START);
        assertThat(mJournal.next(INTERVAL_MILLIS, START + 31_000)).isEmpty();
        assertThat(mJournal.delayMillis(START + 31_000)).isEmpty();
    }

    /** Guards against rows that stay for ever, and against a row whose streams still go on. */
    @Test
    void rowsAreRemovedAfterTheirStreamsHaveEnded() {
        mJournal.onRows(List.of("row-of-another-router"), START);
        mJournal.add(new StreamOrigin(1, 70), START);
        StreamOriginJournal.Batch first = next(START);
        mJournal.onWritten(first, START);
        long later = START + 30_000;
        mJournal.add(new StreamOrigin(2, 70), later);
        StreamOriginJournal.Batch second = next(later);
        assertThat(second.removed()).isEmpty();
        mJournal.onWritten(second, later);
        long ended = START + StreamOriginJournal.RETENTION_MILLIS;
        mJournal.add(new StreamOrigin(3, 70), ended);
        assertThat(next(ended).removed()).containsExactly("row-of-another-router", first.key());
    }

    /** Guards against a transaction that is too large for the store. */
    @Test
    void batchesAreBounded() {
        IntStream.range(0, 3_000).forEach(i -> mJournal.add(new StreamOrigin(i, 70), START));
        mJournal.onRows(IntStream.range(0, 100).mapToObj(i -> "row-" + i).toList(), 0);
        StreamOriginJournal.Batch b = next(START);
        assertThat(b.origins()).hasSize(StreamOriginJournal.MAX_BATCH);
        assertThat(b.removed()).hasSize(StreamOriginJournal.MAX_REMOVED);
    }
}
