package org.forkseam.daemon.orders;

/** Result of an order, as reported by a sidecar. */
public enum OrderResult {
    /** The engine accepted the order. */
    TAKEN,
    /** Reply to a state query. */
    STATE,
    /** The fence is outdated: the sender no longer holds the lease. */
    OLD_FENCE,
    /** The engine is still executing another order. */
    CHANGING,
    /** The engine or the table service did not respond. */
    NO_ANSWER,
    /** The engine rejected the order. */
    REFUSED
}
