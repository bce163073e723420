package org.forkseam.core.crash;

import org.forkseam.core.util.Hashes;

import java.util.Locale;

/**
 * Computes the 64-bit keys by which crashes are counted: one for the content of a request, and one
 * for each shared part of its prompt. Equal on all routers. The sign tells the two kinds apart.
 *
 * @since 0.7
 */
public final class Fingerprint {
    private static final long PART_FLAG = Long.MIN_VALUE;

    private Fingerprint() {}

    /** Returns the fingerprint of a request's content. */
    public static long ofContent(long hash) {
        return hash & ~PART_FLAG;
    }

    /** Returns the fingerprint of a prompt part; ids that differ only in case are equal. */
    public static long ofPart(String id) {
        return Hashes.of(id.strip().toLowerCase(Locale.ROOT)) | PART_FLAG;
    }

    /** Returns whether the fingerprint is that of a prompt part. */
    public static boolean isPart(long fingerprint) {
        return fingerprint < 0;
    }
}
