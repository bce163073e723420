package org.forkseam.wire;

import java.util.Optional;

/**
 * Sets how a daemon talks to others.
 *
 * @param identity who this daemon is
 * @param maxPacketBytes a greater packet closes the connection
 * @param handshakeMillis time for the other side to prove the key
 * @param connectMillis time for a connection to open
 * @param tls PEM files for TLS, or empty for plain TCP
 * @since 0.1
 */
public record WireSettings(
        WireIdentity identity,
        int maxPacketBytes,
        int handshakeMillis,
        int connectMillis,
        Optional<Tls> tls) {
    private static final int MAX_PACKET_BYTES = 8 << 20;
    private static final int HANDSHAKE_MILLIS = 3_000;
    private static final int CONNECT_MILLIS = 1_000;

    /**
     * Names the PEM files of TLS between daemons.
     *
     * @param certificate chain of this daemon
     * @param key its private key
     * @param authority certificates that peers must be signed by
     */
    public record Tls(String certificate, String key, String authority) {}

    /** Returns the defaults for an identity. */
    public static WireSettings of(WireIdentity identity) {
        return new WireSettings(
                identity, MAX_PACKET_BYTES, HANDSHAKE_MILLIS, CONNECT_MILLIS, Optional.empty());
    }

    /** Returns a copy with TLS from PEM files. */
    public WireSettings withTls(Tls tls) {
        return new WireSettings(
                identity, maxPacketBytes, handshakeMillis, connectMillis, Optional.of(tls));
    }
}
