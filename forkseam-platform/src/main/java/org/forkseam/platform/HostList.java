package org.forkseam.platform;

import org.forkseam.core.member.HostEntry;

import java.util.List;
import java.util.concurrent.CompletableFuture;

/**
 * Eventually consistent list of live and leaving hosts, provided by the platform.
 *
 * @since 0.1
 */
public interface HostList {
    /** Reads the list; the future fails with {@link PlatformException} if no response arrives. */
    CompletableFuture<List<HostEntry>> read();
}
