package org.forkseam.daemon.sidecar;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/**
 * Holds what an engine says it read and reused of a prompt.
 *
 * @param promptTokens tokens of the prompt
 * @param cachedTokens of those, tokens whose KV cache was reused
 */
record Usage(int promptTokens, int cachedTokens) {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final String MARK = "\"usage\":{";
    private static final String DATA = "data:";

    /** Reads the usage from a server-sent event, if it holds any. */
    static Optional<Usage> ofEvent(byte[] event) {
        String text = new String(event, StandardCharsets.UTF_8);
        if (!text.contains(MARK) || !text.startsWith(DATA)) {
            return Optional.empty();
        }
        return ofJson(text.substring(DATA.length()).trim());
    }

    /** Reads the usage from a whole answer, if it holds any. */
    static Optional<Usage> ofJson(String json) {
        if (!json.contains("\"usage\"")) {
            return Optional.empty();
        }
        try {
            JsonNode u = JSON.readTree(json).path("usage");
            int cached = u.path("prompt_tokens_details").path("cached_tokens").asInt();
            return Optional.of(new Usage(u.path("prompt_tokens").asInt(), cached));
        } catch (IOException e) {
            return Optional.empty(); // not JSON after all: the answer has no usage to read
        }
    }
}
