package org.forkseam.core.route;

import org.forkseam.core.member.Target;

import java.util.List;
import java.util.Optional;

/**
 * Picks a target for a request. Implementations keep no state about requests.
 *
 * @since 0.2
 */
public interface TargetPicker {
    /**
     * Picks one of the candidates; empty if there are none.
     *
     * @param request the request to place
     * @param candidates targets that may take the request
     */
    Optional<Pick> pick(PickRequest request, List<Target> candidates, long nowMillis);
}
