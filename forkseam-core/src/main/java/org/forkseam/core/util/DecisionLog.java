package org.forkseam.core.util;

import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Keeps the decisions made on recent requests, for operators.
 *
 * <p>Bounded in requests and in notes per request. Not thread-safe; used on the event loop.
 *
 * @since 0.1
 */
public final class DecisionLog {
    /** Default number of requests, of about 400 bytes each. */
    public static final int DEFAULT_SIZE = 2_000;

    private static final int MAX_NOTES_PER_REQUEST = 24;

    /** Longer ids, which callers choose, and texts are cut. */
    private static final int MAX_TEXT_LENGTH = 256;

    private final Map<String, List<Note>> mNotes;

    /**
     * Holds one decision.
     *
     * @param atMillis when it was made
     * @param what description of the decision
     * @param where the target or daemon concerned
     */
    public record Note(long atMillis, String what, String where) {}

    private DecisionLog(int size) {
        mNotes = BoundedMap.byInsertion(size);
    }

    /** Creates a log of at most {@code size} requests. */
    public static DecisionLog of(int size) {
        return new DecisionLog(size);
    }

    /** Adds a decision on a request. */
    public void add(String requestId, String what, String where) {
        List<Note> notes = mNotes.computeIfAbsent(cut(requestId), k -> new ArrayList<>(4));
        if (notes.size() < MAX_NOTES_PER_REQUEST) {
            notes.add(new Note(System.currentTimeMillis(), cut(what), cut(where)));
        }
    }

    private static String cut(String text) {
        return text.length() <= MAX_TEXT_LENGTH ? text : text.substring(0, MAX_TEXT_LENGTH);
    }

    /** Returns the decisions on a request, oldest first. */
    public List<Note> of(String requestId) {
        return Collections.unmodifiableList(mNotes.getOrDefault(cut(requestId), List.of()));
    }

    /** Returns the most recent requests with their decisions. */
    public Map<String, List<Note>> latest(int count) {
        Map<String, List<Note>> out = new LinkedHashMap<>();
        int skip = Math.max(0, mNotes.size() - count);
        mNotes.entrySet().stream().skip(skip).forEach(e -> out.put(e.getKey(), e.getValue()));
        return out;
    }
}
