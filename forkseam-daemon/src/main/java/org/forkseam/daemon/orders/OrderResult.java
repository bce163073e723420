package org.forkseam.daemon.orders;

/** Says what became of an order at a sidecar. */
public enum OrderResult {
    /** The engine has taken the order. */
    TAKEN,
    /** Only the state was asked for. */
    STATE,
    /** The order's fence is old: its sender is no longer the holder. */
    OLD_FENCE,
    /** The engine is still carrying another order out. */
    CHANGING,
    /** The engine, or the row with the fence, did not answer. */
    NO_ANSWER,
    /** The engine refused. */
    REFUSED
}
