package org.forkseam.platform;

import org.forkseam.core.member.HostEntry;

import java.util.List;
import java.util.concurrent.CompletableFuture;

/**
 * Is the platform's lagging list of live and leaving hosts.
 *
 * @since 0.1
 */
public interface HostList {
    /** Reads the list; fails with {@link PlatformException} when no answer came. */
    CompletableFuture<List<HostEntry>> read();
}
