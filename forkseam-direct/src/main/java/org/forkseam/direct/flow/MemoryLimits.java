package org.forkseam.direct.flow;

import org.forkseam.core.admit.MemoryBudget;
import org.forkseam.direct.RouterSettings;

/**
 * Limits on memory and connections that follow from the host's limits and the heap of this process.
 *
 * @param budgetBytes memory of all bytes that are kept for callers and targets
 * @param maxCallers connections of callers
 * @param maxTargets connections to targets
 */
record MemoryLimits(long budgetBytes, int maxCallers, int maxTargets) {
    /** The rest of the heap is for the state of the router and its connections. */
    private static final double HEAP_SHARE = 0.3;

    /** The rest of the host's memory is for the heap and the virtual machine itself. */
    private static final double HOST_SHARE = 0.15;

    /** Share of the heap that the objects of callers' connections may take. */
    private static final double CONNECTIONS_SHARE = 0.2;

    /** Objects of an idle connection. */
    private static final long CONNECTION_BYTES = 6 << 10;

    /** Descriptors that the platform reserves for files. */
    private static final int FILE_DESCRIPTORS = 200;

    /** Share of the descriptors for callers. */
    private static final double CALLERS_SHARE = 0.5;

    /** Share for targets; the rest is for the store, operators and other routers. */
    private static final double TARGETS_SHARE = 0.4;

    private static final int MIN_CONNECTIONS = 16;

    /** Returns the limits of a host and a heap of the given size. */
    static MemoryLimits of(RouterSettings.HostLimits host, long heapBytes) {
        long budget =
                (long)
                        Math.min(
                                HEAP_SHARE * heapBytes,
                                HOST_SHARE * host.memoryBytes().orElse(Long.MAX_VALUE));
        long byMemory = (long) (CONNECTIONS_SHARE * heapBytes) / CONNECTION_BYTES;
        int sockets = host.descriptors().orElse(Integer.MAX_VALUE) - FILE_DESCRIPTORS;
        long callers = Math.min(byMemory, (long) (CALLERS_SHARE * sockets));
        long targets = (long) (TARGETS_SHARE * sockets);
        return new MemoryLimits(
                budget,
                (int) Math.max(MIN_CONNECTIONS, Math.min(Integer.MAX_VALUE, callers)),
                (int) Math.max(MIN_CONNECTIONS, targets));
    }

    MemoryBudget newBudget() {
        return MemoryBudget.of(budgetBytes);
    }
}
