package org.forkseam.core.util;

import net.openhft.hashing.LongHashFunction;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/** Computes the hashes that must be equal on all daemons. */
public final class Hashes {
    private static final LongHashFunction XX = LongHashFunction.xx();

    private Hashes() {}

    /** Returns a 64-bit hash of a text. */
    public static long of(String text) {
        return XX.hashChars(text);
    }

    /** Returns a 64-bit hash of a byte array. */
    public static long of(byte[] bytes) {
        return XX.hashBytes(bytes);
    }

    /** Returns a 64-bit hash of a part of a byte array. */
    public static long of(byte[] bytes, int offset, int length) {
        return XX.hashBytes(bytes, offset, length);
    }

    /** Returns a hash that depends on both values and their order. */
    public static long mix(long a, long b) {
        long h = (a ^ (b + 0x9E3779B97F4A7C15L + (a << 6) + (a >>> 2))) * 0xBF58476D1CE4E5B9L;
        h = (h ^ (h >>> 27)) * 0x94D049BB133111EBL;
        return h ^ (h >>> 31);
    }

    /** Formats a hash as 16 hexadecimal digits. */
    public static String toHex(long hash) {
        return HexFormat.of().toHexDigits(hash);
    }

    /** Returns the SHA-256 digest of a text in lower-case hexadecimal. */
    public static String sha256(String text) {
        try {
            MessageDigest d = MessageDigest.getInstance("SHA-256");
            return HexFormat.of().formatHex(d.digest(text.getBytes(StandardCharsets.UTF_8)));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("required algorithm is not available: SHA-256", e);
        }
    }
}
