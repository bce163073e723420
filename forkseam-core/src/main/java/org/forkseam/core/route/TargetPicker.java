package org.forkseam.core.route;

import org.forkseam.core.member.Target;

import java.util.List;
import java.util.Optional;

/**
 * Chooses a target for a request. Implementations hold no state of requests.
 *
 * @since 0.2
 */
public interface TargetPicker {
    /**
     * Chooses among candidates, or returns empty if there are none.
     *
     * @param request what the target is wanted for
     * @param candidates targets that may take the request, at least one for a result
     */
    Optional<Pick> pick(PickRequest request, List<Target> candidates, long nowMillis);
}
