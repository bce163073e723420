package org.forkseam.core.cfg;

import org.forkseam.core.label.LabelSyntaxException;
import org.forkseam.core.label.Labels;
import org.forkseam.core.label.Selector;
import org.forkseam.core.orders.DeploymentSpec;
import org.forkseam.core.orders.EngineState;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Function;

/** Parses configuration sections into typed values and collects all findings. */
final class ConfigReader {
    private static final int MAX_PRIORITY = 9;
    private static final Map<String, Set<String>> KEYS =
            Map.of(
                    "pool",
                    Set.of("selector", "max-load-multiple", "prefer", "queue-limit", "deadline-ms"),
                    "team",
                    Set.of("labels", "weight", "requests-per-second", "burst"),
                    "intent",
                    Set.of("selector", "pool", "order", "priority"),
                    "target",
                    Set.of("labels", "drained"),
                    "deployment",
                    Set.of(
                            "selector",
                            "model",
                            "adapter",
                            "version",
                            "role",
                            "targets",
                            "max-unavailable"));

    private final List<Finding> mFindings = new ArrayList<>();
    private final Map<String, PoolSpec> mPools = new TreeMap<>();
    private final Map<String, TeamSpec> mTeams = new TreeMap<>();
    private final Map<String, TargetSpec> mTargets = new TreeMap<>();
    private final Map<String, IntentSpec> mIntents = new TreeMap<>();
    private final Map<String, DeploymentSpec> mDeployments = new TreeMap<>();
    private List<IntentSpec> mSortedIntents = List.of();

    private ConfigReader() {}

    static ConfigReader read(Map<String, Map<String, String>> sections) {
        ConfigReader r = new ConfigReader();
        sections.forEach(r::readSection);
        r.mSortedIntents = FleetConfig.sortByOrder(r.mIntents.values());
        r.checkReferences();
        return r;
    }

    List<Finding> findings() {
        return mFindings;
    }

    Map<String, PoolSpec> pools() {
        return mPools;
    }

    Map<String, TeamSpec> teams() {
        return mTeams;
    }

    Map<String, TargetSpec> targets() {
        return mTargets;
    }

    Map<String, DeploymentSpec> deployments() {
        return mDeployments;
    }

    List<IntentSpec> intents() {
        return mSortedIntents;
    }

    private void readSection(String section, Map<String, String> values) {
        int space = section.indexOf(' ');
        String kind = space < 0 ? section : section.substring(0, space);
        String name = space < 0 ? "" : section.substring(space + 1).trim();
        Set<String> keys = KEYS.get(kind);
        if (keys == null || name.isEmpty() || name.contains(" ")) {
            addFinding(
                    section,
                    "",
                    "",
                    "[pool NAME], [team NAME], [intent NAME], [target NAME] or [deployment NAME]");
            return;
        }
        Section s = new Section(section, values);
        for (String key : values.keySet()) {
            if (!keys.contains(key)) {
                addFinding(
                        section, key, values.get(key), "one of " + String.join(", ", sorted(keys)));
            }
        }
        switch (kind) {
            case "pool" -> readPool(name, s);
            case "team" -> readTeam(name, s);
            case "intent" -> readIntent(name, s);
            case "target" -> readTarget(name, s);
            default -> readDeployment(name, s);
        }
    }

    private void readPool(String name, Section s) {
        PoolSpec pool =
                new PoolSpec(
                        name,
                        s.selector(),
                        s.number("max-load-multiple", 1.25, 1, 100),
                        s.preference(),
                        (int) s.number("queue-limit", 256, 0, 100_000),
                        Duration.ofMillis((long) s.number("deadline-ms", 60_000, 1, 86_400_000)));
        mPools.put(name, pool);
    }

    private void readTeam(String name, Section s) {
        double rate = s.number("requests-per-second", 0, 0, 1e6);
        TeamSpec team =
                new TeamSpec(
                        name,
                        s.labels(),
                        s.number("weight", 1, 0.001, 1e6),
                        rate,
                        s.number("burst", Math.max(1, rate), 1, 1e6));
        mTeams.put(name, team);
    }

    private void readIntent(String name, Section s) {
        String pool = s.values().getOrDefault("pool", "");
        int order = (int) s.number("order", 100, 0, 1_000_000);
        int priority = (int) s.number("priority", 5, 0, MAX_PRIORITY);
        mIntents.put(name, new IntentSpec(name, s.selector(), pool, order, priority));
    }

    private void readTarget(String name, Section s) {
        String drained = s.values().getOrDefault("drained", "false");
        if (!drained.equals("true") && !drained.equals("false")) {
            addFinding(s.name(), "drained", drained, "true or false");
        }
        mTargets.put(name, new TargetSpec(name, s.labels(), drained.equals("true")));
    }

    private void readDeployment(String name, Section s) {
        EngineState desired =
                new EngineState(
                        s.values().getOrDefault("model", ""),
                        s.values().getOrDefault("adapter", ""),
                        s.values().getOrDefault("version", ""),
                        s.values().getOrDefault("role", ""));
        if (desired.model().isEmpty()) {
            addFinding(s.name(), "model", "", "the name of a model");
        }
        DeploymentSpec d =
                new DeploymentSpec(
                        name,
                        s.selector(),
                        desired,
                        (int) s.number("targets", 0, 0, 100_000),
                        (int) s.number("max-unavailable", 1, 1, 1_000));
        mDeployments.put(name, d);
    }

    private void checkReferences() {
        List<String> earlier = new ArrayList<>();
        String catchAll = null;
        for (IntentSpec i : mSortedIntents) {
            String section = "intent " + i.name();
            if (!mPools.containsKey(i.pool())) {
                addFinding(
                        section,
                        "pool",
                        i.pool(),
                        "a declared pool: " + String.join(", ", mPools.keySet()));
            }
            String text = i.selector().toString();
            if (catchAll != null || earlier.contains(text)) {
                String shadowedBy = catchAll != null ? catchAll : text;
                addFinding(
                        section,
                        "selector",
                        text,
                        "an intent not shadowed by an earlier one: " + shadowedBy);
            }
            earlier.add(text);
            if (i.selector().equals(Selector.all())) {
                catchAll = "intent " + i.name() + " matches everything";
            }
        }
    }

    private void addFinding(String section, String key, String value, String allowed) {
        mFindings.add(new Finding(section, key, value, allowed, true));
    }

    private static List<String> sorted(Set<String> keys) {
        return keys.stream().sorted().toList();
    }

    /** Provides typed access to the keys of a section. */
    private final class Section {
        private final String mName;
        private final Map<String, String> mValues;

        Section(String name, Map<String, String> values) {
            mName = name;
            mValues = values;
        }

        String name() {
            return mName;
        }

        Map<String, String> values() {
            return mValues;
        }

        Selector selector() {
            return parse("selector", Selector::parse, Selector.all());
        }

        Labels labels() {
            return parse("labels", Labels::parse, Labels.empty());
        }

        PoolSpec.Preference preference() {
            String v = mValues.getOrDefault("prefer", "skew");
            for (PoolSpec.Preference p : PoolSpec.Preference.values()) {
                if (p.name().toLowerCase(Locale.ROOT).equals(v)) {
                    return p;
                }
            }
            addFinding(mName, "prefer", v, "skew or reuse");
            return PoolSpec.Preference.SKEW;
        }

        double number(String key, double defaultValue, double min, double max) {
            String v = mValues.get(key);
            if (v == null) {
                return defaultValue;
            }
            String allowed = "a number from " + min + " to " + max;
            try {
                double d = Double.parseDouble(v);
                if (d >= min && d <= max) {
                    return d;
                }
            } catch (NumberFormatException e) {
                allowed = allowed + ", in digits";
            }
            addFinding(mName, key, v, allowed);
            return defaultValue;
        }

        private <T> T parse(String key, Function<String, T> parser, T defaultValue) {
            String v = mValues.get(key);
            if (v == null) {
                return defaultValue;
            }
            try {
                return parser.apply(v);
            } catch (LabelSyntaxException e) {
                addFinding(mName, key, v, e.getMessage());
                return defaultValue;
            }
        }
    }
}
