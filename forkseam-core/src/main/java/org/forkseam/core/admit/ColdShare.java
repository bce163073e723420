package org.forkseam.core.admit;

import org.forkseam.core.route.Rendezvous;
import org.forkseam.core.util.Hashes;

import java.util.Collection;

/**
 * Divides what a cold target bears within a second among the routers, without a message.
 *
 * <p>The routers have an order for each target, by rendezvous hashing of their names. Each gets the
 * whole part of the limit by the number of routers, and the first in the order one more until the
 * limit is given away: with more routers than requests, one each for the first of them. Routers
 * that know the same others so keep to the limit together. A router that does not know some of the
 * others takes too much, by one request for each of them or less while that is two in twenty; what
 * the pool's targets bear above the limit allows for it.
 *
 * @param rank this router's place in the order, 0 the first
 * @param routers all routers known, with this one
 * @since 0.5
 */
public record ColdShare(int rank, int routers) {
    /**
     * Returns a router's share for a target.
     *
     * @param self this router's name
     * @param routers the names of all routers known, with or without this one's
     */
    public static ColdShare of(String self, Collection<String> routers, long targetHash) {
        double own = score(targetHash, self);
        int before = 0;
        int others = 0;
        for (String r : routers) {
            if (!r.equals(self)) {
                others++;
                before += score(targetHash, r) > own ? 1 : 0;
            }
        }
        return new ColdShare(before, others + 1);
    }

    private static double score(long targetHash, String router) {
        return Rendezvous.score(targetHash, Hashes.of(router), 1);
    }

    /** Returns how many requests this router may send within any second. */
    public int of(int limit) {
        int whole = limit / routers;
        return rank < limit % routers ? whole + 1 : whole;
    }
}
