package org.forkseam.platform;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * Is the platform's object store. Futures fail with {@link PlatformException} when no answer came;
 * a put that failed may have taken effect.
 *
 * @since 0.1
 */
public interface ObjectStore {
    /** Writes an object whole. */
    CompletableFuture<Void> put(String key, byte[] data);

    /** Reads an object. */
    CompletableFuture<Optional<byte[]>> get(String key);

    /** Deletes an object; deleting one that is absent succeeds. */
    CompletableFuture<Void> delete(String key);
}
