package org.forkseam.wire;

import org.forkseam.wire.proto.Packet;

import java.util.List;

/**
 * Receives what happens on a link. Called on the network thread; implementations hand over to the
 * daemon's event loop and return at once.
 *
 * @since 0.1
 */
public interface LinkHandler {
    /** Receives the packets that one read brought, in order. */
    void onPackets(Link link, List<Packet> packets);

    /** Receives the end of a link that had been opened. */
    void onClosed(Link link);
}
