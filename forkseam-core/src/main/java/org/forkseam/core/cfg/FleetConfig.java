package org.forkseam.core.cfg;

import org.forkseam.core.label.Labels;
import org.forkseam.core.orders.DeploymentSpec;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Holds a version of the configuration declared by operators.
 *
 * <p>{@link #with} rejects changes that do not continue this version, so that a configuration
 * cannot revert. Immutable.
 *
 * @since 0.1
 */
public final class FleetConfig {
    private static final FleetConfig EMPTY = new FleetConfig(0, "", Collections.emptyMap());

    private final long mVersion;
    private final String mHash;
    private final Map<String, Map<String, String>> mSections;
    private final ConfigReader mReader;

    private FleetConfig(long version, String hash, Map<String, Map<String, String>> sections) {
        mVersion = version;
        mHash = hash;
        mSections = sections;
        mReader = ConfigReader.read(sections);
    }

    /** Returns the empty configuration, version 0. */
    public static FleetConfig empty() {
        return EMPTY;
    }

    /** Creates a configuration from a snapshot. */
    public static FleetConfig of(
            long version, String hash, Map<String, Map<String, String>> sections) {
        return new FleetConfig(version, hash, copy(sections));
    }

    /**
     * Returns the next version, or empty if the change does not continue this version or its hash
     * is invalid.
     */
    public Optional<FleetConfig> with(ConfigChange change) {
        boolean follows = change.version() == mVersion + 1 && change.parentHash().equals(mHash);
        if (!follows || !change.isIntact()) {
            return Optional.empty();
        }
        Map<String, Map<String, String>> sections = new TreeMap<>(mSections);
        change.removed().forEach(sections::remove);
        sections.putAll(change.set());
        return Optional.of(new FleetConfig(change.version(), change.hash(), copy(sections)));
    }

    private static Map<String, Map<String, String>> copy(Map<String, Map<String, String>> in) {
        Map<String, Map<String, String>> out = new TreeMap<>();
        in.forEach((k, v) -> out.put(k, Collections.unmodifiableMap(new TreeMap<>(v))));
        return Collections.unmodifiableMap(out);
    }

    // ---------------------------------------------------------------- accessors

    /** Returns the version, which increases by one with each accepted change. */
    public long version() {
        return mVersion;
    }

    /** Returns the hash of the history up to this version. */
    public String hash() {
        return mHash;
    }

    /** Returns all sections with their keys, by name. */
    public Map<String, Map<String, String>> sections() {
        return mSections;
    }

    /** Returns the problems found while parsing the sections. */
    public List<Finding> findings() {
        return mReader.findings();
    }

    /** Returns a pool by name. */
    public Optional<PoolSpec> pool(String name) {
        return Optional.ofNullable(mReader.pools().get(name));
    }

    /** Returns all pools. */
    public Collection<PoolSpec> pools() {
        return mReader.pools().values();
    }

    /** Returns a team by name, with defaults if it is not declared. */
    public TeamSpec team(String name) {
        TeamSpec t = mReader.teams().get(name);
        return t == null ? TeamSpec.undeclared(name) : t;
    }

    /** Returns all declared teams. */
    public Collection<TeamSpec> teams() {
        return mReader.teams().values();
    }

    /** Returns the intents in the order of evaluation. */
    public List<IntentSpec> intents() {
        return mReader.intents();
    }

    /** Returns all deployments. */
    public Collection<DeploymentSpec> deployments() {
        return mReader.deployments().values();
    }

    /** Returns the labels that operators set on a target. */
    public Labels targetLabels(String target) {
        TargetSpec t = mReader.targets().get(target);
        return t == null ? Labels.empty() : t.labels();
    }

    /** Returns whether operators drain a target. */
    public boolean isDrained(String target) {
        TargetSpec t = mReader.targets().get(target);
        return t != null && t.drained();
    }

    /** Returns the first intent whose selector matches a request's labels. */
    public Optional<IntentSpec> intentFor(Labels request) {
        for (IntentSpec i : mReader.intents()) {
            if (i.selector().matches(request)) {
                return Optional.of(i);
            }
        }
        return Optional.empty();
    }

    static List<IntentSpec> sortByOrder(Collection<IntentSpec> intents) {
        List<IntentSpec> sorted = new ArrayList<>(intents);
        sorted.sort(Comparator.comparingInt(IntentSpec::order).thenComparing(IntentSpec::name));
        return List.copyOf(sorted);
    }
}
