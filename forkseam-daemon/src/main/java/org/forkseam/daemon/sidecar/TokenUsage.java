package org.forkseam.daemon.sidecar;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/**
 * Token usage that an engine reports for a prompt.
 *
 * @param promptTokens tokens of the prompt
 * @param cachedTokens prompt tokens served from the KV cache
 */
record TokenUsage(int promptTokens, int cachedTokens) {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final String USAGE_MARKER = "\"usage\":{";
    private static final String DATA_PREFIX = "data:";

    /** Parses the usage from a server-sent event, if present. */
    static Optional<TokenUsage> parseEvent(byte[] event) {
        String text = new String(event, StandardCharsets.UTF_8);
        if (!text.contains(USAGE_MARKER) || !text.startsWith(DATA_PREFIX)) {
            return Optional.empty();
        }
        return parseJson(text.substring(DATA_PREFIX.length()).trim());
    }

    /** Parses the usage from a complete response body, if present. */
    static Optional<TokenUsage> parseJson(String json) {
        if (!json.contains("\"usage\"")) {
            return Optional.empty();
        }
        try {
            JsonNode u = JSON.readTree(json).path("usage");
            int cached = u.path("prompt_tokens_details").path("cached_tokens").asInt();
            return Optional.of(new TokenUsage(u.path("prompt_tokens").asInt(), cached));
        } catch (IOException e) {
            return Optional.empty(); // not JSON, so there is no usage
        }
    }
}
