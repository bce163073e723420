package org.forkseam.core.member;

import org.forkseam.core.util.Hashes;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.stream.Collectors;

/**
 * Stored record of the versions at which streams of a pool may have begun, for routers that start
 * later. Times are those of the store's clock, in milliseconds. Immutable.
 *
 * @param era era of the store in which the record was written; one of an earlier era may lack
 *     versions, and its times belong to another clock
 * @param sinceMillis time since which the record is complete
 * @param versions when each version was recorded, by key, see {@link TargetEntry#softwareKey}
 * @since 0.7
 */
public record VersionRecord(int era, long sinceMillis, Map<Long, Long> versions) {
    private static final int HEX = 16;

    /** Parses a record; returns empty if the text is malformed. */
    public static Optional<VersionRecord> parse(String text) {
        String[] fields = text.split(" ");
        if (fields.length < 3) {
            return Optional.empty();
        }
        try {
            Map<Long, Long> versions = new HashMap<>();
            for (int i = 2; i < fields.length; i++) {
                String[] v = fields[i].split("@", 2);
                if (v.length < 2) {
                    return Optional.empty();
                }
                versions.put(Long.parseUnsignedLong(v[0], HEX), Long.parseLong(v[1]));
            }
            return Optional.of(
                    new VersionRecord(
                            Integer.parseInt(fields[0]),
                            Long.parseLong(fields[1]),
                            Map.copyOf(versions)));
        } catch (NumberFormatException e) {
            return Optional.empty(); // treated as absent
        }
    }

    /** Returns the text that {@link #parse} reads. */
    public String format() {
        String list =
                new TreeMap<>(versions)
                        .entrySet().stream()
                                .map(v -> Hashes.toHex(v.getKey()) + "@" + v.getValue())
                                .collect(Collectors.joining(" "));
        return era + " " + sinceMillis + " " + list;
    }
}
