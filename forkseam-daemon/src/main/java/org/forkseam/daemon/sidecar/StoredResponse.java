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
 * The response to an unrepeatable request as stored in its claim.
 *
 * @param status HTTP status
 * @param names header names
 * @param values header values, in the same order
 * @param frames body frames
 */
record StoredResponse(int status, List<String> names, List<String> values, List<byte[]> frames) {
    /** Responses of this size or larger are not stored. */
    static final int MAX_BYTES = 64 << 10;

    private static final ObjectMapper JSON = new ObjectMapper();

    /** Returns an exchange's response, if it is complete and small enough to store. */
    static Optional<StoredResponse> of(Exchange e) {
        return e.frames()
                .filter(f -> f.stream().mapToInt(d -> d.length).sum() < MAX_BYTES)
                .map(f -> of(e.status(), e.headers(), f));
    }

    private static StoredResponse of(int status, List<Header> headers, List<byte[]> frames) {
        List<String> names = headers.stream().map(Header::getName).toList();
        List<String> values = headers.stream().map(Header::getValue).toList();
        return new StoredResponse(status, names, values, frames);
    }

    String toJson() {
        try {
            return JSON.writeValueAsString(this);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("response cannot be serialized", e);
        }
    }

    static Optional<StoredResponse> fromJson(String text) {
        if (text.isEmpty()) {
            return Optional.empty();
        }
        try {
            return Optional.of(JSON.readValue(text, StoredResponse.class));
        } catch (IOException e) {
            throw new UncheckedIOException("malformed stored response", e);
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
