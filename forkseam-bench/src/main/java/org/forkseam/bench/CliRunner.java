package org.forkseam.bench;

import org.forkseam.cli.CliMain;
import org.forkseam.daemon.Daemon;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;

/** Runs commands of the command line in this process. Thread-safe. */
public final class CliRunner {
    private final Map<String, String> mEnvironment;

    private CliRunner(Map<String, String> environment) {
        mEnvironment = environment;
    }

    /** Exit code and output of a command. */
    public record Result(int code, String out, String err) {}

    /** Creates a runner for a daemon. */
    public static CliRunner of(Daemon daemon) {
        return at(LocalFleet.toHostPort(daemon.operatorsAddress()), LocalFleet.OPERATORS_KEY);
    }

    /** Creates a runner for the daemon at an address. */
    public static CliRunner at(String address, String key) {
        return new CliRunner(Map.of("FORKSEAM_ADDRESS", address, "FORKSEAM_KEY", key));
    }

    /** Runs a command. */
    public Result run(String... args) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        ByteArrayOutputStream err = new ByteArrayOutputStream();
        int code =
                CliMain.run(
                        args,
                        mEnvironment,
                        new PrintStream(out, true, StandardCharsets.UTF_8),
                        new PrintStream(err, true, StandardCharsets.UTF_8));
        return new Result(
                code, out.toString(StandardCharsets.UTF_8), err.toString(StandardCharsets.UTF_8));
    }

    /** Applies a configuration given as INI text. */
    public Result apply(String ini) throws IOException {
        Path file = Files.createTempFile("forkseam", ".ini");
        try {
            Files.writeString(file, ini);
            return run("apply", "-f", file.toString());
        } finally {
            Files.delete(file);
        }
    }
}
