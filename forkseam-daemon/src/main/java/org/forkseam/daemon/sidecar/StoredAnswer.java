package org.forkseam.daemon.sidecar;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;

import org.forkseam.wire.proto.Header;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Holds the answer to an unrepeatable request as it is kept in its claim.
 *
 * @param status HTTP status
 * @param names header names
 * @param values header values, in the same order
 * @param frames the body as it was framed
 */
record StoredAnswer(int status, List<String> names, List<String> values, List<byte[]> frames) {
    /** A larger answer is not kept in the table service. */
    static final int MAX_BYTES = 64 << 10;

    private static final ObjectMapper JSON = new ObjectMapper();

    /** Returns an exchange's answer, if it is whole and small enough to be kept. */
    static Optional<StoredAnswer> of(Exchange e) {
        return e.frames()
                .filter(f -> f.stream().mapToInt(d -> d.length).sum() < MAX_BYTES)
                .map(f -> of(e.status(), e.headers(), f));
    }

    private static StoredAnswer of(int status, List<Header> headers, List<byte[]> frames) {
        List<String> names = headers.stream().map(Header::getName).toList();
        List<String> values = headers.stream().map(Header::getValue).toList();
        return new StoredAnswer(status, names, values, frames);
    }

    String write() {
        try {
            return JSON.writeValueAsString(this);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("an answer can always be written", e);
        }
    }

    static Optional<StoredAnswer> read(String text) {
        if (text.isEmpty()) {
            return Optional.empty();
        }
        try {
            return Optional.of(JSON.readValue(text, StoredAnswer.class));
        } catch (IOException e) {
            throw new UncheckedIOException("a stored answer cannot be read", e);
        }
    }

    List<Header> toHeaders() {
        List<Header> out = new ArrayList<>();
        for (int i = 0; i < names.size(); i++) {
            out.add(Header.newBuilder().setName(names.get(i)).setValue(values.get(i)).build());
        }
        return out;
    }
}
