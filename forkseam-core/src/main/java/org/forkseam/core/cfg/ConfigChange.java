package org.forkseam.core.cfg;

import org.forkseam.core.util.Hashes;

import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Holds an accepted change from one configuration version to the next.
 *
 * <p>The hash covers the parent's hash and the content, so that a daemon that receives changes from
 * a peer detects those that do not continue its own history.
 *
 * @param version the version that results from the change
 * @param parentHash hash of the previous version
 * @param hash hash of this version
 * @param changeId id chosen by the author's client; tells whether a change took effect if the
 *     answer was lost
 * @param author who made the change
 * @param atMillis when the change was made, by the author's clock; only for display
 * @param note the author's comment
 * @param set sections written, each with all its keys
 * @param removed sections removed
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

    /** Creates the change that follows a parent version and computes its hash. */
    public static ConfigChange of(
            FleetConfig parent,
            String changeId,
            String author,
            long atMillis,
            String note,
            Map<String, Map<String, String>> set,
            Set<String> removed) {
        Map<String, Map<String, String>> sorted = sort(set);
        Set<String> sortedRemoved = new TreeSet<>(removed);
        long version = parent.version() + 1;
        String hash = computeHash(version, parent.hash(), changeId, sorted, sortedRemoved);
        return new ConfigChange(
                version,
                parent.hash(),
                hash,
                changeId,
                author,
                atMillis,
                note,
                sorted,
                sortedRemoved);
    }

    /** Returns whether the hash matches the content. */
    public boolean isIntact() {
        return hash.equals(
                computeHash(version, parentHash, changeId, sort(set), new TreeSet<>(removed)));
    }

    private static Map<String, Map<String, String>> sort(Map<String, Map<String, String>> set) {
        Map<String, Map<String, String>> sorted = new TreeMap<>();
        set.forEach((k, v) -> sorted.put(k, new TreeMap<>(v)));
        return sorted;
    }

    private static String computeHash(
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
