package org.forkseam.core.cfg;

import org.forkseam.core.label.Labels;

/**
 * Declares operators' settings for a target.
 *
 * @param name the target's name
 * @param labels labels that override those set by the host
 * @param drained whether the target is drained, so that it gets no new work
 */
public record TargetSpec(String name, Labels labels, boolean drained) {}
