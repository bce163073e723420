package org.forkseam.core.lease;

/**
 * Holds a lease as the table service keeps it. It names no time: clocks of two hosts are not
 * compared.
 *
 * @param holder host of the daemon that holds it
 * @param fence grows with each change of holder
 * @param renewals grows with each renewal, so that the row's revision changes
 */
public record LeaseRow(String holder, long fence, long renewals) {
    /** Returns the row after a renewal. */
    public LeaseRow renewed() {
        return new LeaseRow(holder, fence, renewals + 1);
    }
}
