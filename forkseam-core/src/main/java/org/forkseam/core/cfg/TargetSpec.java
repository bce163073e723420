package org.forkseam.core.cfg;

import org.forkseam.core.label.Labels;

/**
 * Declares labels that operators add to one target, over those its host brings.
 *
 * @param name the target's name
 * @param labels labels that go before the host's own
 * @param drained whether operators asked the target to take no new work
 */
public record TargetSpec(String name, Labels labels, boolean drained) {}
