package org.forkseam.wire;

import java.util.Optional;

/**
 * Settings of the connections between daemons. Immutable.
 *
 * @param identity identity and shared key of this daemon
 * @param maxPacketBytes largest packet accepted; a larger one closes the connection
 * @param handshakeMillis time limit of the handshake
 * @param connectMillis time limit for opening a connection
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
     * PEM files for TLS between daemons.
     *
     * @param certificate certificate chain of this daemon
     * @param key private key of this daemon
     * @param authority CA certificates that peers are verified against
     */
    public record Tls(String certificate, String key, String authority) {}

    /** Returns the default settings for an identity. */
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
