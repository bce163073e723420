package org.forkseam.daemon.net;

import org.forkseam.wire.Link;
import org.forkseam.wire.proto.Packet;

/** Receives packets and link closures; called on the daemon's event loop. */
public interface PacketListener {
    /** Receives a packet. */
    void onPacket(Link link, Packet packet);

    /** Called when a link has closed. */
    void onClosed(Link link);
}
