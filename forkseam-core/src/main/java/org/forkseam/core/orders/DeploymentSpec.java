package org.forkseam.core.orders;

import org.forkseam.core.label.Selector;

/**
 * Declares what so many engines should run.
 *
 * @param name the deployment's name
 * @param selector chooses the engines that may be ordered
 * @param wish what they should run
 * @param targets how many of them; 0 means all
 * @param maxUnavailable engines that may be changing at once
 */
public record DeploymentSpec(
        String name, Selector selector, EngineState wish, int targets, int maxUnavailable) {}
