package org.forkseam.cli;

import com.fasterxml.jackson.databind.JsonNode;

import java.io.PrintStream;

/** A subcommand; args4j sets the fields of its options. */
interface Command {
    /** Returns a one-line usage example. */
    String example();

    /** Runs the command and returns the exit code. */
    int run(Context context) throws CliException;

    /**
     * Environment of a command.
     *
     * @param client client of the daemon
     * @param out stream for results
     * @param json whether results are printed as JSON
     */
    record Context(AdminClient client, PrintStream out, boolean json) {
        int print(JsonNode node) {
            out.println(node.toPrettyString());
            return ExitCode.DONE;
        }
    }
}
