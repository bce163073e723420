package org.forkseam.core.cfg;

import org.forkseam.core.label.Selector;

/**
 * Declares a routing rule: requests matched by the selector go to the pool.
 *
 * @param name the intent's name
 * @param selector matches the labels of requests and their teams
 * @param pool name of the pool
 * @param order intents are evaluated by ascending order, then by name
 * @param priority default priority of matching requests, from 0 (lowest) to 9 (highest)
 */
public record IntentSpec(String name, Selector selector, String pool, int order, int priority) {}
