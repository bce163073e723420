package org.forkseam.platform;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * Object store of the platform. Futures fail with {@link PlatformException} if no response arrives;
 * a put that failed may still have taken effect.
 *
 * @since 0.1
 */
public interface ObjectStore {
    /** Writes an object, replacing any existing one. */
    CompletableFuture<Void> put(String key, byte[] data);

    /** Reads an object. */
    CompletableFuture<Optional<byte[]>> get(String key);

    /** Deletes an object; succeeds if it does not exist. */
    CompletableFuture<Void> delete(String key);
}
