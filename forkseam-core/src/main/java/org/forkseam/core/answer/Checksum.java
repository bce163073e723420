package org.forkseam.core.answer;

import java.util.zip.CRC32C;

/** Sums up an answer's bytes and frame boundaries in order. Not thread-safe. */
final class Checksum {
    private final CRC32C mCrc = new CRC32C();

    void add(byte[] data) {
        mCrc.update(data.length);
        mCrc.update(data);
    }

    long value() {
        return mCrc.getValue();
    }
}
