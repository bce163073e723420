package org.forkseam.daemon.net;

import org.forkseam.wire.Link;
import org.forkseam.wire.proto.Packet;

/** Receives packets and the ends of links, on the daemon's event loop. */
public interface PacketSink {
    /** Receives one packet. */
    void onPacket(Link link, Packet packet);

    /** Receives the end of a link. */
    void onClosed(Link link);
}
