package org.forkseam.core.load;

import java.util.OptionalInt;

/**
 * Holds the load that a target reported with a response.
 *
 * @param running requests that the target is processing
 * @param waiting requests in its queue; for an engine, those without a first token
 * @param slots requests that it processes at the same time; 0 if not reported
 * @param slowdownPercent how long work takes at present in percent of the usual; empty if not
 *     reported
 * @since 0.8
 */
public record ReportedLoad(int running, int waiting, int slots, OptionalInt slowdownPercent) {
    /** Returns the report of a target that tells only its number of requests. */
    public static ReportedLoad ofTotal(int total) {
        return new ReportedLoad(total, 0, 0, OptionalInt.empty());
    }

    /** Returns the number of requests at the target. */
    public int total() {
        return running + waiting;
    }
}
