package org.forkseam.core.orders;

import org.forkseam.core.label.Selector;

/**
 * Desired state of a group of engines.
 *
 * @param name the deployment's name
 * @param selector selects the engines that may be changed
 * @param desired desired state of the engines
 * @param targetCount number of engines to bring into the desired state; 0 for all
 * @param maxUnavailable maximum number of engines unavailable at a time
 */
public record DeploymentSpec(
        String name, Selector selector, EngineState desired, int targetCount, int maxUnavailable) {}
