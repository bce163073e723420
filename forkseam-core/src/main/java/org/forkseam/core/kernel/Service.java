package org.forkseam.core.kernel;

import java.util.List;
import java.util.concurrent.CompletableFuture;

/**
 * Is one part of a daemon with a life of its own.
 *
 * @since 0.1
 */
public interface Service {
    /** Returns the name by which others find it. */
    String name();

    /** Returns the names of services that must have started before. */
    default List<String> needs() {
        return List.of();
    }

    /** Starts; the future completes when the service is of use. */
    CompletableFuture<Void> start();

    /** Stops in an orderly way; the future completes when nothing of it runs any more. */
    CompletableFuture<Void> stop();

    /**
     * Returns what the service would show in a state dump: plain maps, lists, texts and numbers.
     */
    default Object dump() {
        return "";
    }
}
