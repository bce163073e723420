package org.forkseam.core.admit;

import org.forkseam.core.route.Rendezvous;
import org.forkseam.core.util.Hashes;

import java.util.Collection;

/**
 * Share of a router in the request limit of a cold target, computed without coordination.
 *
 * <p>Rendezvous hashing of the router names gives an order of routers for each target. Each router
 * gets the limit divided by the number of routers, rounded down; the remainder goes to the first
 * routers in order, one request each. Routers that agree on the router set therefore keep the limit
 * together. A router that does not know some of the others takes too much, by about one request for
 * each of them.
 *
 * @param rank position of this router in the order, starting at 0
 * @param routers number of known routers, including this one
 * @since 0.5
 */
public record ColdStartShare(int rank, int routers) {
    /**
     * Returns a router's share for a target.
     *
     * @param self name of the router
     * @param routers names of all known routers, with or without this one
     */
    public static ColdStartShare of(String self, Collection<String> routers, long targetHash) {
        double ownScore = score(targetHash, self);
        int rank = 0;
        int others = 0;
        for (String r : routers) {
            if (!r.equals(self)) {
                others++;
                rank += score(targetHash, r) > ownScore ? 1 : 0;
            }
        }
        return new ColdStartShare(rank, others + 1);
    }

    private static double score(long targetHash, String router) {
        return Rendezvous.score(targetHash, Hashes.of(router), 1);
    }

    /** Returns how many requests this router may send within any second. */
    public int requestsPerSecond(int limit) {
        int share = limit / routers;
        return rank < limit % routers ? share + 1 : share;
    }
}
