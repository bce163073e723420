package org.forkseam.core.route;

import java.util.List;

/**
 * Ranks the targets of a pool for a request. Implementations do no I/O, never block and are called
 * from one thread.
 *
 * @since 0.1
 */
public interface Placement {
    /** Returns the candidates, best first; empty only if the pool has no usable target. */
    List<Candidate> rank(PlacementRequest request, PoolView pool, long nowMillis);
}
