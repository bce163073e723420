package org.forkseam.core.share;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Encodes origins of streams for the store: the distinct keys of software, then for each stream its
 * hash and the index of its software. Stateless.
 *
 * @since 0.7
 */
public final class StreamOriginCodec {
    private static final byte FORMAT = 1;
    private static final int HEADER_BYTES = 3;

    private StreamOriginCodec() {}

    /** Encodes up to {@link Short#MAX_VALUE} origins. */
    public static byte[] encode(Collection<StreamOrigin> origins) {
        Map<Long, Short> indices = new LinkedHashMap<>();
        for (StreamOrigin o : origins) {
            indices.putIfAbsent(o.software(), (short) indices.size());
        }
        ByteBuffer b =
                ByteBuffer.allocate(
                        HEADER_BYTES
                                + indices.size() * Long.BYTES
                                + origins.size() * (Long.BYTES + Short.BYTES));
        b.put(FORMAT).putShort((short) indices.size());
        indices.keySet().forEach(b::putLong);
        origins.forEach(o -> b.putLong(o.stream()).putShort(indices.get(o.software())));
        return b.array();
    }

    /** Decodes origins; returns empty if the bytes are malformed or of another format. */
    public static Optional<List<StreamOrigin>> decode(byte[] bytes) {
        ByteBuffer b = ByteBuffer.wrap(bytes);
        try {
            if (b.get() != FORMAT) {
                return Optional.empty();
            }
            long[] software = new long[Short.toUnsignedInt(b.getShort())];
            for (int i = 0; i < software.length; i++) {
                software[i] = b.getLong();
            }
            List<StreamOrigin> origins = new ArrayList<>();
            while (b.hasRemaining()) {
                long stream = b.getLong();
                int index = b.getShort();
                if (index < 0 || index >= software.length) {
                    return Optional.empty();
                }
                origins.add(new StreamOrigin(stream, software[index]));
            }
            return Optional.of(origins);
        } catch (BufferUnderflowException e) {
            return Optional.empty();
        }
    }
}
