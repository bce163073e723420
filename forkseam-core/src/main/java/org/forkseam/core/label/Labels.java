package org.forkseam.core.label;

import java.util.Collections;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Holds the labels of a target, team or request. Each name has one value. Immutable and
 * thread-safe.
 *
 * @since 0.1
 */
public final class Labels {
    private static final Labels EMPTY = new Labels(Collections.emptyMap());

    private final Map<String, String> mValues;

    private Labels(Map<String, String> values) {
        mValues = values;
    }

    /** Returns an empty set of labels. */
    public static Labels empty() {
        return EMPTY;
    }

    /** Creates labels from a map of names to values. */
    public static Labels of(Map<String, String> values) {
        return values.isEmpty()
                ? EMPTY
                : new Labels(Collections.unmodifiableMap(new TreeMap<>(values)));
    }

    /**
     * Parses {@code name=value} pairs separated by commas.
     *
     * @throws LabelSyntaxException if a pair has no {@code =} or a name or value is malformed
     */
    public static Labels parse(String text) {
        Map<String, String> values = new TreeMap<>();
        for (String pair : text.split(",")) {
            String p = pair.trim();
            if (p.isEmpty()) {
                continue;
            }
            int eq = p.indexOf('=');
            if (eq <= 0) {
                throw new LabelSyntaxException(p, "name=value pairs separated by commas");
            }
            String name = LabelSyntax.checkName(p.substring(0, eq).trim());
            values.put(name, LabelSyntax.checkValue(p.substring(eq + 1).trim()));
        }
        return of(values);
    }

    /** Returns the value of a label. */
    public Optional<String> get(String name) {
        return Optional.ofNullable(mValues.get(name));
    }

    /** Returns whether a label is present. */
    public boolean has(String name) {
        return mValues.containsKey(name);
    }

    /** Returns a copy with one label set. */
    public Labels with(String name, String value) {
        Map<String, String> values = new TreeMap<>(mValues);
        values.put(name, value);
        return of(values);
    }

    /** Returns a copy with the other labels added, replacing those of the same name. */
    public Labels withAll(Labels other) {
        if (other.mValues.isEmpty()) {
            return this;
        }
        Map<String, String> values = new TreeMap<>(mValues);
        values.putAll(other.mValues);
        return of(values);
    }

    /** Returns the labels as a map sorted by name. */
    public Map<String, String> asMap() {
        return mValues;
    }

    @Override
    public boolean equals(Object o) {
        return o instanceof Labels l && l.mValues.equals(mValues);
    }

    @Override
    public int hashCode() {
        return mValues.hashCode();
    }

    /** Formats the labels so that {@link #parse} can read them. */
    @Override
    public String toString() {
        StringBuilder sb = new StringBuilder();
        mValues.forEach((k, v) -> sb.append(sb.length() == 0 ? "" : ",").append(k + "=" + v));
        return sb.toString();
    }
}
