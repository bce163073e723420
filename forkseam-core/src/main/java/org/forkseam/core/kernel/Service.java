package org.forkseam.core.kernel;

import java.util.List;
import java.util.concurrent.CompletableFuture;

/**
 * Represents a component of a daemon that can be started and stopped.
 *
 * @since 0.1
 */
public interface Service {
    /** Returns the unique name of the service. */
    String name();

    /** Returns the names of the services that must be started first. */
    default List<String> dependencies() {
        return List.of();
    }

    /** Starts the service; the future completes when it is ready. */
    CompletableFuture<Void> start();

    /** Stops the service gracefully; the future completes when it has stopped entirely. */
    CompletableFuture<Void> stop();

    /** Returns the service's part of a state dump, made of maps, lists, strings and numbers. */
    default Object dump() {
        return "";
    }
}
