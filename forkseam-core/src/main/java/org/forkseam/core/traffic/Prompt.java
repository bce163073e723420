package org.forkseam.core.traffic;

import java.util.List;

/**
 * Prompt of a request to a model engine.
 *
 * @param model the model's name
 * @param parts parts of the prompt in order; all but the last may be shared with other requests
 * @since 0.2
 */
public record Prompt(String model, List<Part> parts) {
    /**
     * Part of a prompt.
     *
     * @param id identifier, equal for equal parts
     * @param tokens length in tokens
     */
    public record Part(String id, long tokens) {}

    /** Returns the length of the prompt in tokens. */
    public long tokens() {
        return parts.stream().mapToLong(Part::tokens).sum();
    }

    /** Returns all parts but the last, which other requests may have too. */
    public List<Part> sharedParts() {
        return parts.subList(0, Math.max(0, parts.size() - 1));
    }

    /** Returns the length of the shared parts in tokens. */
    public long sharedTokens() {
        return sharedParts().stream().mapToLong(Part::tokens).sum();
    }

    /** Returns the id of the last shared part, or of the only part. */
    public String sharedKey() {
        if (parts.isEmpty()) {
            return model;
        }
        return parts.get(Math.max(0, parts.size() - 2)).id();
    }
}
