package org.forkseam.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;

import org.forkseam.core.label.LabelSyntaxException;
import org.forkseam.core.label.Labels;
import org.forkseam.core.label.Selector;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;

import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/** Subcommands that show the state of the fleet. */
final class ViewCommands {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final Set<String> KINDS =
            Set.of("pools", "teams", "intents", "targets", "hosts");

    private ViewCommands() {}

    // ---------------------------------------------------------------- views

    /** Lists declared objects, targets and hosts. */
    static final class Get implements Command {
        @Argument(index = 0, required = true, metaVar = "KIND")
        private String mKind;

        @Argument(index = 1, metaVar = "NAME")
        private String mName;

        @Option(name = "--selector", metaVar = "S", usage = "only those whose labels match")
        private String mSelector = "*";

        @Override
        public String example() {
            return "get targets --selector model=forecast-lm";
        }

        @Override
        public int run(Context c) throws CliException {
            if (!KINDS.contains(mKind)) {
                throw Commands.usageError(mKind, String.join(", ", new TreeSet<>(KINDS)));
            }
            Selector selector = selector();
            JsonNode found =
                    mKind.equals("targets") || mKind.equals("hosts")
                            ? c.client().get("/v1/fleet").body().path("targets")
                            : declared(Commands.fetchConfig(c).path("sections"));
            ObjectNode out = JSON.createObjectNode();
            for (String n : Commands.names(found)) {
                boolean named = mName == null || mName.equals(n);
                if (named && selector.matches(labels(found.path(n).path("labels")))) {
                    out.set(n, found.path(n));
                }
            }
            if (mName != null && out.isEmpty()) {
                throw Commands.usageError(
                        mKind + " " + mName, String.join(", ", Commands.names(found)));
            }
            if (c.json()) {
                return c.print(out);
            }
            print(c, out);
            return ExitCode.DONE;
        }

        private Selector selector() throws CliException {
            try {
                return Selector.parse(mSelector);
            } catch (LabelSyntaxException e) {
                throw new CliException(ExitCode.USAGE, "--selector: " + e.getMessage());
            }
        }

        private JsonNode declared(JsonNode sections) {
            String prefix = mKind.substring(0, mKind.length() - 1) + " ";
            ObjectNode out = JSON.createObjectNode();
            for (String s : Commands.names(sections)) {
                if (s.startsWith(prefix)) {
                    out.set(s.substring(prefix.length()), sections.path(s));
                }
            }
            return out;
        }

        private static Labels labels(JsonNode node) {
            if (node.isTextual()) {
                return Labels.parse(node.asText());
            }
            Map<String, String> m = new TreeMap<>();
            node.fields().forEachRemaining(e -> m.put(e.getKey(), e.getValue().asText()));
            return Labels.of(m);
        }

        private void print(Context c, JsonNode found) {
            if (!mKind.equals("targets") && !mKind.equals("hosts")) {
                Table t = new Table("NAME", "DECLARED");
                Commands.names(found).forEach(n -> t.add(n, found.path(n)));
                t.print(c.out());
                return;
            }
            Table t =
                    new Table(
                            "TARGET",
                            "DOMAIN",
                            "LOAD",
                            "CAPACITY",
                            "LEAVING",
                            "EVACUATED",
                            "LABELS");
            for (String n : Commands.names(found)) {
                JsonNode v = found.path(n);
                t.add(
                        n,
                        v.path("failure_domain").asText(),
                        v.path("load"),
                        v.path("capacity"),
                        v.path("leaving"),
                        v.path("evacuated").asBoolean(false),
                        labels(v.path("labels")));
            }
            t.print(c.out());
        }
    }

    /** Shows the routing history of a request. */
    static final class Explain implements Command {
        @Argument(required = true, metaVar = "REQUEST-ID")
        private String mId;

        @Override
        public String example() {
            return "explain 7c9e6679-7425-40de-944b-e07fc1f90ae7";
        }

        @Override
        public int run(Context c) throws CliException {
            JsonNode e = c.client().get("/v1/explain/" + mId).body();
            if (c.json()) {
                return c.print(e);
            }
            if (!e.path("known").asBoolean()) {
                c.out().println("request " + mId + " is not known to any daemon that answered");
                return ExitCode.REFUSED;
            }
            long first = e.path("notes").path(0).path("at_ms").asLong();
            Table t = new Table("MS", "DAEMON", "TARGET", "WHAT");
            for (JsonNode n : e.path("notes")) {
                t.add(
                        n.path("at_ms").asLong() - first,
                        n.path("daemon").asText(),
                        n.path("where").asText(),
                        n.path("what").asText());
            }
            t.print(c.out());
            if (!e.path("not_answering").isEmpty()) {
                c.out().println("missing, did not answer: " + e.path("not_answering"));
            }
            return ExitCode.DONE;
        }
    }

    /** Prints the state dump of a daemon. */
    static final class Dump implements Command {
        @Override
        public String example() {
            return "dump --address 127.0.0.1:7301";
        }

        @Override
        public int run(Context c) throws CliException {
            return c.print(c.client().get("/v1/dump").body());
        }
    }

    /** Shows the load of each pool's targets against the pool's mean. */
    static final class Top implements Command {
        @Override
        public String example() {
            return "top";
        }

        @Override
        public int run(Context c) throws CliException {
            JsonNode fleet = c.client().get("/v1/fleet").body();
            if (c.json()) {
                return c.print(fleet.path("pools"));
            }
            Table t =
                    new Table(
                            "POOL",
                            "TARGET",
                            "LOAD",
                            "MEAN",
                            "BOUND",
                            "HEALTH",
                            "LEAVING",
                            "EVACUATED");
            for (String p : Commands.names(fleet.path("pools"))) {
                JsonNode pool = fleet.path("pools").path(p);
                double mean =
                        pool.path("total_load").asDouble()
                                / Math.max(1, pool.path("targets").size());
                double bound = mean * pool.path("max_load_multiple").asDouble();
                for (JsonNode n : pool.path("targets")) {
                    JsonNode v = fleet.path("targets").path(n.asText());
                    t.add(
                            p,
                            n.asText(),
                            v.path("load"),
                            String.format("%.1f", mean),
                            String.format("%.1f", bound),
                            v.path("health"),
                            v.path("leaving"),
                            v.path("evacuated").asBoolean(false));
                }
            }
            t.print(c.out());
            return ExitCode.DONE;
        }
    }
}
