package org.forkseam.platform;

import java.util.List;

/** Is the result of a transaction: not knowing is a result like the others. */
public sealed interface TxnResult {
    /**
     * All writes took effect.
     *
     * @param revision the rows' new revision
     */
    record Applied(long revision) implements TxnResult {}

    /**
     * No write took effect, since a condition did not hold.
     *
     * @param rows the rows named in the transaction as they are, without those that are absent
     */
    record Conflict(List<Row> rows) implements TxnResult {}

    /**
     * The service gave no answer: the writes took effect, or did not, or still may.
     *
     * @param why what happened to the answer
     */
    record Unknown(String why) implements TxnResult {}
}
