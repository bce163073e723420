package org.forkseam.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;

import org.forkseam.core.label.LabelSyntaxException;
import org.forkseam.core.label.Labels;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;

import java.nio.file.Path;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.UUID;

/** Subcommands that change the configuration. */
final class ChangeCommands {
    private static final ObjectMapper JSON = new ObjectMapper();

    private ChangeCommands() {}

    // ---------------------------------------------------------------- changes

    /** Submits a change and prints its result. */
    private static int submitChange(Command.Context c, ObjectNode change) throws CliException {
        change.put("author", System.getProperty("user.name", "unknown"));
        if (!change.has("change_id")) {
            change.put("change_id", UUID.randomUUID().toString());
        }
        AdminClient.Response a = c.client().post("/v1/config/changes", change);
        if (c.json()) {
            c.print(a.body());
            return a.status() == 200 ? ExitCode.DONE : ExitCode.REFUSED;
        }
        String result = a.body().path("result").asText();
        switch (result) {
            case "accepted" -> c.out().println("accepted version " + a.body().path("version"));
            case "conflict" -> {
                c.out().println("conflict: latest version is " + a.body().path("latest"));
                for (JsonNode o : a.body().path("others")) {
                    c.out()
                            .println(
                                    "  version "
                                            + o.path("version")
                                            + " by "
                                            + o.path("author").asText()
                                            + " set "
                                            + Commands.names(o.path("set"))
                                            + " removed "
                                            + o.path("removed"));
                }
            }
            case "unknown" -> {
                c.out().println("outcome unknown: " + a.body().path("why").asText());
                c.out().println("repeat with --change-id " + change.path("change_id").asText());
            }
            default -> c.out().println("refused; nothing was changed");
        }
        a.body().path("findings").forEach(f -> c.out().println("  " + f.asText()));
        return result.equals("accepted") ? ExitCode.DONE : ExitCode.REFUSED;
    }

    /** Computes the change from the current configuration to the wanted sections. */
    private static ObjectNode computeChange(
            JsonNode config, Map<String, Map<String, String>> wanted, boolean prune) {
        ObjectNode change = JSON.createObjectNode();
        ObjectNode set = change.putObject("set");
        Set<String> removed = new TreeSet<>();
        JsonNode now = config.path("sections");
        wanted.forEach(
                (s, v) -> {
                    JsonNode w = JSON.valueToTree(v);
                    if (!w.equals(now.path(s))) {
                        set.set(s, w);
                    }
                });
        if (prune) {
            for (Iterator<String> i = now.fieldNames(); i.hasNext(); ) {
                String s = i.next();
                if (!wanted.containsKey(s)) {
                    removed.add(s);
                }
            }
        }
        change.set("removed", JSON.valueToTree(removed));
        return change;
    }

    /** Applies the sections of INI files. */
    static final class Apply implements Command {
        @Option(name = "-f", required = true, metaVar = "FILE", usage = "INI file; may be repeated")
        private List<Path> mFiles;

        @Option(name = "--dry-run", usage = "check and change nothing")
        private boolean mDryRun;

        @Option(name = "--prune", usage = "remove declared sections that the files lack")
        private boolean mPrune;

        @Option(name = "--base", metaVar = "VERSION", usage = "refuse if others changed it since")
        private Long mBase;

        @Option(name = "--change-id", metaVar = "ID", usage = "repeat a change of unknown outcome")
        private String mChangeId;

        @Option(name = "--note", metaVar = "TEXT", usage = "why")
        private String mNote = "";

        @Override
        public String example() {
            return "apply -f pools.ini -f teams.ini --base 41";
        }

        @Override
        public int run(Context c) throws CliException {
            JsonNode now = Commands.fetchConfig(c);
            ObjectNode change = computeChange(now, IniSections.read(mFiles), mPrune);
            if (change.path("set").isEmpty() && change.path("removed").isEmpty()) {
                c.out().println("nothing to change at version " + now.path("version"));
                return ExitCode.DONE;
            }
            change.put("base", mBase == null ? now.path("version").asLong() : mBase);
            change.put("note", mNote).put("dry_run", mDryRun);
            if (mChangeId != null) {
                change.put("change_id", mChangeId);
            }
            return submitChange(c, change);
        }
    }

    /** Shows what {@code apply --prune} would change. */
    static final class Diff implements Command {
        @Option(name = "-f", required = true, metaVar = "FILE", usage = "INI file; may be repeated")
        private List<Path> mFiles;

        @Override
        public String example() {
            return "diff -f pools.ini";
        }

        @Override
        public int run(Context c) throws CliException {
            JsonNode now = Commands.fetchConfig(c);
            ObjectNode change = computeChange(now, IniSections.read(mFiles), true);
            change.remove("base");
            if (c.json()) {
                return c.print(change);
            }
            for (String s : Commands.names(change.path("set"))) {
                String sign = now.path("sections").has(s) ? "~" : "+";
                c.out().println(sign + " [" + s + "] " + change.path("set").path(s));
            }
            change.path("removed").forEach(s -> c.out().println("- [" + s.asText() + "]"));
            return ExitCode.DONE;
        }
    }

    /** Sets and removes labels of a target or team. */
    static final class Label implements Command {
        @Argument(index = 0, required = true, metaVar = "target|team")
        private String mKind;

        @Argument(index = 1, required = true, metaVar = "NAME")
        private String mName;

        @Argument(index = 2, required = true, multiValued = true, metaVar = "k=v | k-")
        private List<String> mChanges;

        @Override
        public String example() {
            return "label target lm-03 tier=canary old-";
        }

        @Override
        public int run(Context c) throws CliException {
            if (!mKind.equals("target") && !mKind.equals("team")) {
                throw Commands.usageError(mKind, "target or team");
            }
            JsonNode now = Commands.fetchConfig(c);
            String section = mKind + " " + mName;
            Map<String, String> values = new TreeMap<>();
            now.path("sections")
                    .path(section)
                    .fields()
                    .forEachRemaining(e -> values.put(e.getKey(), e.getValue().asText()));
            values.put("labels", applyLabelChanges(values.getOrDefault("labels", "")));
            ObjectNode change = JSON.createObjectNode();
            change.put("base", now.path("version").asLong());
            change.putObject("set").set(section, JSON.valueToTree(values));
            return submitChange(c, change);
        }

        private String applyLabelChanges(String labels) throws CliException {
            try {
                Map<String, String> m = new TreeMap<>(Labels.parse(labels).asMap());
                for (String x : mChanges) {
                    if (x.endsWith("-") && !x.contains("=")) {
                        m.remove(x.substring(0, x.length() - 1));
                    } else {
                        m.putAll(Labels.parse(x).asMap());
                    }
                }
                return Labels.of(m).toString();
            } catch (LabelSyntaxException e) {
                throw new CliException(ExitCode.USAGE, e.getMessage() + "; nothing was changed");
            }
        }
    }

    /** Drains a target, or undoes the draining. */
    static final class Drain implements Command {
        private final boolean mDrained;

        @Argument(required = true, metaVar = "TARGET")
        private String mTarget;

        Drain(boolean drained) {
            mDrained = drained;
        }

        @Override
        public String example() {
            return (mDrained ? "drain" : "undrain") + " lm-03";
        }

        @Override
        public int run(Context c) throws CliException {
            JsonNode fleet = c.client().get("/v1/fleet").body();
            if (!fleet.path("targets").has(mTarget)) {
                throw Commands.usageError(
                        "target " + mTarget,
                        String.join(", ", Commands.names(fleet.path("targets"))));
            }
            JsonNode now = Commands.fetchConfig(c);
            String section = "target " + mTarget;
            ObjectNode values =
                    now.path("sections").has(section)
                            ? now.path("sections").path(section).deepCopy()
                            : JSON.createObjectNode();
            values.put("drained", Boolean.toString(mDrained));
            ObjectNode change = JSON.createObjectNode();
            change.put("base", now.path("version").asLong());
            change.putObject("set").set(section, values);
            return submitChange(c, change);
        }
    }

    /** Shows the configuration, its status and history, and rolls it back. */
    static final class Config implements Command {
        @Argument(index = 0, required = true, metaVar = "status|history|rollback|show")
        private String mAction;

        @Argument(index = 1, metaVar = "VERSION")
        private Long mVersion;

        @Override
        public String example() {
            return "config status";
        }

        @Override
        public int run(Context c) throws CliException {
            return switch (mAction) {
                case "show" -> c.print(Commands.fetchConfig(c));
                case "status" -> status(c);
                case "history" -> history(c);
                case "rollback" -> rollback(c);
                default ->
                        throw Commands.usageError(
                                mAction, "status, history, rollback VERSION, show");
            };
        }

        private static int status(Context c) throws CliException {
            JsonNode s = c.client().get("/v1/config/status").body();
            if (c.json()) {
                return c.print(s);
            }
            long version = s.path("version").asLong();
            c.out()
                    .println(
                            "version "
                                    + version
                                    + ", in force here for "
                                    + s.path("age_ms")
                                    + " ms");
            Table t = new Table("DAEMON", "VERSION", "STATE");
            s.path("unreachable").forEach(h -> t.add(h.asText(), "?", "unreachable"));
            Commands.names(s.path("daemons")).stream()
                    .sorted(
                            (a, b) ->
                                    Long.compare(
                                            s.path("daemons").path(a).asLong(),
                                            s.path("daemons").path(b).asLong()))
                    .forEach(
                            h -> {
                                long v = s.path("daemons").path(h).asLong();
                                t.add(h, v, v >= version ? "in force" : "behind");
                            });
            t.print(c.out());
            return ExitCode.DONE;
        }

        private static int history(Context c) throws CliException {
            JsonNode h = c.client().get("/v1/config/history").body();
            if (c.json()) {
                return c.print(h);
            }
            Table t = new Table("VERSION", "AUTHOR", "SET", "REMOVED", "NOTE");
            for (JsonNode v : h) {
                t.add(
                        v.path("version"),
                        v.path("author").asText(),
                        Commands.names(v.path("set")),
                        v.path("removed"),
                        v.path("note").asText());
            }
            t.print(c.out());
            return ExitCode.DONE;
        }

        /** Submits a new version with the content of an earlier one. */
        private int rollback(Context c) throws CliException {
            if (mVersion == null) {
                throw Commands.usageError("rollback", "rollback VERSION");
            }
            JsonNode now = Commands.fetchConfig(c);
            JsonNode at = c.client().get("/v1/config/at/" + mVersion).body();
            if (!at.has("sections")) {
                throw new CliException(
                        ExitCode.REFUSED,
                        "version " + mVersion + ": " + at.path("error").asText("not known here"));
            }
            Map<String, Map<String, String>> wanted = new TreeMap<>();
            for (String s : Commands.names(at.path("sections"))) {
                Map<String, String> values = new TreeMap<>();
                at.path("sections")
                        .path(s)
                        .fields()
                        .forEachRemaining(e -> values.put(e.getKey(), e.getValue().asText()));
                wanted.put(s, values);
            }
            ObjectNode change = computeChange(now, wanted, true);
            change.put("base", now.path("version").asLong());
            change.put("note", "rollback to version " + mVersion);
            return submitChange(c, change);
        }
    }
}
