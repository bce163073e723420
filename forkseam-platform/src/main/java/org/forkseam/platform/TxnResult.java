package org.forkseam.platform;

import java.util.List;

/** Result of a transaction. */
public sealed interface TxnResult {
    /**
     * All writes took effect.
     *
     * @param revision new revision of the rows
     */
    record Applied(long revision) implements TxnResult {}

    /**
     * No write took effect because a condition did not hold.
     *
     * @param rows current state of the transaction's rows, without those that do not exist
     */
    record Conflict(List<Row> rows) implements TxnResult {}

    /**
     * No response arrived: the writes may have taken effect, or may still do so.
     *
     * @param reason cause of the missing response
     */
    record Unknown(String reason) implements TxnResult {}
}
