package org.forkseam.cli;

import com.fasterxml.jackson.databind.JsonNode;

import java.io.PrintStream;

/** Is one sub-command; its options are fields that args4j fills. */
interface Command {
    /** Returns one line that shows how it is used. */
    String example();

    /** Runs and returns the exit code. */
    int run(Context context) throws CliException;

    /**
     * Holds what a command works with.
     *
     * @param client the daemon asked
     * @param out where results go
     * @param json whether results are printed as JSON
     */
    record Context(AdminClient client, PrintStream out, boolean json) {
        int print(JsonNode node) {
            out.println(node.toPrettyString());
            return ExitCode.DONE;
        }
    }
}
