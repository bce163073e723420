package org.forkseam.direct.io;

/**
 * What a server sends on a connection beyond the response that is due. The names are used as metric
 * tag values.
 *
 * @since 0.10
 */
public enum SurplusKind {
    /** Bytes received while no request is active. */
    OUTSIDE_EXCHANGE,

    /** Bytes that follow a response in the same read. */
    BEHIND_RESPONSE,

    /** The head of a response to another request. */
    OTHER_REQUEST
}
