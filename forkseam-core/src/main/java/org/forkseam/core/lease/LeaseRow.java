package org.forkseam.core.lease;

/**
 * Lease as stored in the table service. Contains no timestamps, since clocks of different hosts are
 * not compared.
 *
 * @param holder host of the daemon that holds the lease
 * @param fence fencing token, incremented with each change of holder
 * @param renewals incremented with each renewal, which changes the row's revision
 */
public record LeaseRow(String holder, long fence, long renewals) {
    /** Returns a copy with one more renewal. */
    public LeaseRow renewed() {
        return new LeaseRow(holder, fence, renewals + 1);
    }
}
