package org.forkseam.direct.io;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;

/** Parses socket addresses of the form IP:PORT without a name lookup. Stateless. */
public final class Addresses {
    private static final int PARTS = 4;
    private static final int MAX_BYTE = 255;
    private static final int MAX_PORT = 65_535;

    private Addresses() {}

    /**
     * Parses an address.
     *
     * @throws IllegalArgumentException if the text is not an IPv4 address and a port
     */
    public static InetSocketAddress parse(String text) {
        int colon = text.lastIndexOf(':');
        String[] parts = colon < 0 ? new String[0] : text.substring(0, colon).split("\\.", -1);
        if (parts.length != PARTS) {
            throw new IllegalArgumentException("address " + text + "; allowed: IP:PORT");
        }
        byte[] ip = new byte[PARTS];
        for (int i = 0; i < PARTS; i++) {
            ip[i] = (byte) parseNumber(parts[i], MAX_BYTE, text);
        }
        int port = parseNumber(text.substring(colon + 1), MAX_PORT, text);
        try {
            return new InetSocketAddress(InetAddress.getByAddress(ip), port);
        } catch (UnknownHostException e) {
            throw new IllegalArgumentException("address " + text, e);
        }
    }

    private static int parseNumber(String digits, int max, String text) {
        try {
            int n = Integer.parseInt(digits);
            if (n >= 0 && n <= max) {
                return n;
            }
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException("address " + text + "; allowed: IP:PORT", e);
        }
        throw new IllegalArgumentException("address " + text + "; allowed: IP:PORT");
    }
}
