package org.forkseam.cli;

import com.fasterxml.jackson.databind.JsonNode;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Registry of the subcommands, with helpers shared by them. */
final class Commands {

    private Commands() {}

    /** Returns all subcommands by name. */
    static Map<String, Command> all() {
        Map<String, Command> m = new TreeMap<>();
        m.put("apply", new ChangeCommands.Apply());
        m.put("diff", new ChangeCommands.Diff());
        m.put("get", new ViewCommands.Get());
        m.put("label", new ChangeCommands.Label());
        m.put("drain", new ChangeCommands.Drain(true));
        m.put("undrain", new ChangeCommands.Drain(false));
        m.put("config", new ChangeCommands.Config());
        m.put("explain", new ViewCommands.Explain());
        m.put("dump", new ViewCommands.Dump());
        m.put("top", new ViewCommands.Top());
        return m;
    }

    static List<String> names(JsonNode node) {
        List<String> out = new ArrayList<>();
        node.fieldNames().forEachRemaining(out::add);
        return out;
    }

    static JsonNode fetchConfig(Command.Context c) throws CliException {
        return c.client().get("/v1/config").body();
    }

    static CliException usageError(String found, String allowed) {
        return new CliException(
                ExitCode.USAGE, found + "; allowed: " + allowed + "; nothing was changed");
    }
}
