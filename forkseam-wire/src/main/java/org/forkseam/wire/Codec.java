package org.forkseam.wire;

import org.forkseam.core.cfg.ConfigChange;
import org.forkseam.core.cfg.FleetConfig;
import org.forkseam.core.load.LoadDigest;
import org.forkseam.core.util.Hashes;
import org.forkseam.wire.proto.ConfigEntry;
import org.forkseam.wire.proto.ConfigPush;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/** Converts between core types and their protobuf messages. Stateless and thread-safe. */
public final class Codec {
    private Codec() {}

    /** Returns the hash that identifies a target in load digests; never 0, which means unset. */
    public static int targetHash(String target) {
        int h = (int) Hashes.of(target);
        return h == 0 ? 1 : h;
    }

    /** Converts a digest, sending its age because host clocks are not synchronized. */
    public static org.forkseam.wire.proto.LoadDigest toWire(LoadDigest d, long nowMillis) {
        return toWireWithoutTarget(d, nowMillis).toBuilder()
                .setTarget(targetHash(d.target()))
                .build();
    }

    /**
     * Converts the digest of the sender's own target, which the receiver identifies by the link.
     */
    public static org.forkseam.wire.proto.LoadDigest toWireWithoutTarget(
            LoadDigest d, long nowMillis) {
        return org.forkseam.wire.proto.LoadDigest.newBuilder()
                .setSequence(d.sequence())
                .setLoad(d.load())
                .setLeaving(d.leaving())
                .setAgeMillis((int) Math.max(0, nowMillis - d.atMillis()))
                .build();
    }

    /** Converts a digest message; its time is the receiver's clock minus the age sent. */
    public static LoadDigest fromWire(
            org.forkseam.wire.proto.LoadDigest d, String target, int capacity, long nowMillis) {
        return new LoadDigest(
                target,
                d.getSequence(),
                d.getLoad(),
                capacity,
                d.getLeaving(),
                nowMillis - Integer.toUnsignedLong(d.getAgeMillis()));
    }

    /** Converts a configuration change. */
    public static org.forkseam.wire.proto.ConfigChange toWire(ConfigChange c) {
        return org.forkseam.wire.proto.ConfigChange.newBuilder()
                .setVersion(c.version())
                .setParentHash(c.parentHash())
                .setHash(c.hash())
                .setChangeId(c.changeId())
                .setAuthor(c.author())
                .setAtMillis(c.atMillis())
                .setNote(c.note())
                .addAllSet(toWire(c.set()))
                .addAllRemoved(c.removed())
                .build();
    }

    /** Converts a configuration change message without verifying its hash. */
    public static ConfigChange fromWire(org.forkseam.wire.proto.ConfigChange c) {
        Set<String> removed = new TreeSet<>(c.getRemovedList());
        return new ConfigChange(
                c.getVersion(),
                c.getParentHash(),
                c.getHash(),
                c.getChangeId(),
                c.getAuthor(),
                c.getAtMillis(),
                c.getNote(),
                sections(c.getSetList()),
                removed);
    }

    /** Creates a push of consecutive changes. */
    public static ConfigPush toConfigPush(List<ConfigChange> changes) {
        ConfigPush.Builder b = ConfigPush.newBuilder();
        changes.forEach(c -> b.addChanges(toWire(c)));
        return b.build();
    }

    /** Creates a push of a full configuration. */
    public static ConfigPush toConfigPush(FleetConfig config) {
        return ConfigPush.newBuilder()
                .setWhole(true)
                .addChanges(
                        org.forkseam.wire.proto.ConfigChange.newBuilder()
                                .setVersion(config.version())
                                .setHash(config.hash())
                                .addAllSet(toWire(config.sections())))
                .build();
    }

    /** Converts a full configuration. */
    public static FleetConfig fullConfigFromWire(org.forkseam.wire.proto.ConfigChange c) {
        return FleetConfig.of(c.getVersion(), c.getHash(), sections(c.getSetList()));
    }

    private static List<ConfigEntry> toWire(Map<String, Map<String, String>> sections) {
        List<ConfigEntry> out = new ArrayList<>();
        sections.forEach(
                (s, v) -> out.add(ConfigEntry.newBuilder().setSection(s).putAllValues(v).build()));
        return out;
    }

    private static Map<String, Map<String, String>> sections(List<ConfigEntry> entries) {
        Map<String, Map<String, String>> out = new TreeMap<>();
        entries.forEach(e -> out.put(e.getSection(), new TreeMap<>(e.getValuesMap())));
        return out;
    }
}
