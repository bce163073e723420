package org.forkseam.core.cfg;

import org.forkseam.core.util.Hashes;

import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Holds one accepted step from a configuration version to the next.
 *
 * <p>The hash covers the parent's hash and the whole step, so that a daemon which takes changes
 * from a peer sees at once when they do not continue its own history.
 *
 * @param version the version this change leads to
 * @param parentHash hash of the version before
 * @param hash hash of this version
 * @param changeId chosen by who made the change; settles whether a lost answer took effect
 * @param author who made it
 * @param atMillis when, by the author's clock; shown, never decided upon
 * @param note why, in the author's words
 * @param set sections written, each with all its keys
 * @param removed sections taken away
 */
public record ConfigChange(
        long version,
        String parentHash,
        String hash,
        String changeId,
        String author,
        long atMillis,
        String note,
        Map<String, Map<String, String>> set,
        Set<String> removed) {

    /** Creates the change that follows a parent and computes its hash. */
    public static ConfigChange of(
            FleetConfig parent,
            String changeId,
            String author,
            long atMillis,
            String note,
            Map<String, Map<String, String>> set,
            Set<String> removed) {
        Map<String, Map<String, String>> sorted = sort(set);
        Set<String> gone = new TreeSet<>(removed);
        long version = parent.version() + 1;
        String hash = hash(version, parent.hash(), changeId, sorted, gone);
        return new ConfigChange(
                version, parent.hash(), hash, changeId, author, atMillis, note, sorted, gone);
    }

    /** Returns whether the hash is that of the content. */
    public boolean isIntact() {
        return hash.equals(hash(version, parentHash, changeId, sort(set), new TreeSet<>(removed)));
    }

    private static Map<String, Map<String, String>> sort(Map<String, Map<String, String>> set) {
        Map<String, Map<String, String>> sorted = new TreeMap<>();
        set.forEach((k, v) -> sorted.put(k, new TreeMap<>(v)));
        return sorted;
    }

    private static String hash(
            long version,
            String parent,
            String changeId,
            Map<String, Map<String, String>> set,
            Set<String> removed) {
        StringBuilder sb = new StringBuilder();
        sb.append(version).append('\n').append(parent).append('\n').append(changeId).append('\n');
        set.forEach(
                (s, values) -> {
                    sb.append('[').append(s).append("]\n");
                    values.forEach((k, v) -> sb.append(k).append('=').append(v).append('\n'));
                });
        removed.forEach(s -> sb.append("-[").append(s).append("]\n"));
        return Hashes.sha256(sb.toString());
    }
}
