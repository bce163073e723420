package org.forkseam.wire;

import org.forkseam.wire.proto.Packet;

import java.util.List;

/**
 * Callback for link events. Called on the network thread; implementations must not block and hand
 * events over to the daemon's event loop.
 *
 * @since 0.1
 */
public interface LinkHandler {
    /** Receives the packets of one read, in order. */
    void onPackets(Link link, List<Packet> packets);

    /** Called when an established link has closed. */
    void onClosed(Link link);
}
