package org.forkseam.core.traffic;

import java.util.List;

/**
 * Describes the prompt of a request to a model engine.
 *
 * @param model name of the model
 * @param parts the prompt's parts in order; all but the last may be shared with other requests
 * @since 0.2
 */
public record Prompt(String model, List<Part> parts) {
    /**
     * Names one part of a prompt.
     *
     * @param id equal parts have equal ids
     * @param tokens its length
     */
    public record Part(String id, long tokens) {}

    /** Returns the tokens of all parts. */
    public long tokens() {
        return parts.stream().mapToLong(Part::tokens).sum();
    }

    /** Returns the tokens of all parts but the last. */
    public long sharedTokens() {
        return parts.isEmpty() ? 0 : tokens() - parts.get(parts.size() - 1).tokens();
    }

    /** Returns the id of the last part that other requests may share, or the only part's. */
    public String sharedKey() {
        if (parts.isEmpty()) {
            return model;
        }
        return parts.get(Math.max(0, parts.size() - 2)).id();
    }
}
