package org.forkseam.core.route;

import org.forkseam.core.member.Target;

import java.util.Optional;

/**
 * Describes a request for which a target is picked.
 *
 * @param key requests with the same key prefer the same target
 * @param sharedTokens prompt tokens that the preferred target is likely to have cached
 * @param shards the pool's shards
 * @param idleTargets number of healthy targets that currently get no work and are not candidates;
 *     they count in the pool's mean load with a load of zero
 * @param placed target that a coordinator has selected, which is picked within its load bound
 * @since 0.2
 */
public record PickRequest(
        String key,
        long sharedTokens,
        ShardTable shards,
        int idleTargets,
        Optional<Target> placed) {
    /** Creates a request that no coordinator has placed. */
    public PickRequest(String key, long sharedTokens, ShardTable shards, int idleTargets) {
        this(key, sharedTokens, shards, idleTargets, Optional.empty());
    }

    /** Returns a request to a pool without idle targets. */
    public static PickRequest of(String key, long sharedTokens, ShardTable shards) {
        return new PickRequest(key, sharedTokens, shards, 0);
    }
}
