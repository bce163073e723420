package org.forkseam.core.cfg;

import org.forkseam.core.label.Selector;

/**
 * Declares a routing intent: requests that the selector matches go to the pool.
 *
 * @param name the intent's name
 * @param selector chooses requests by their labels and their team's
 * @param pool name of the pool
 * @param order intents are tried by growing order, then by name
 * @param priority added to requests that bring none; 0 is served last, 9 first
 */
public record IntentSpec(String name, Selector selector, String pool, int order, int priority) {}
