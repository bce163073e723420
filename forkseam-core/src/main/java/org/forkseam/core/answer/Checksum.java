package org.forkseam.core.answer;

import java.util.zip.CRC32C;

/** CRC-32C over the frames of a response, including their lengths. Not thread-safe. */
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
