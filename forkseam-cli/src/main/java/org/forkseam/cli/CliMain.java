package org.forkseam.cli;

import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.ParserProperties;

import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Entry point of the command line for operators. Stateless and thread-safe.
 *
 * @since 0.1
 */
public final class CliMain {
    private static final String ADDRESS_VARIABLE = "FORKSEAM_ADDRESS";
    private static final String KEY_VARIABLE = "FORKSEAM_KEY";
    private static final String FILE_VARIABLE = "FORKSEAM_CLI_SETTINGS";

    private CliMain() {}

    /** Runs the command line and exits with its exit code. */
    public static void main(String[] args) {
        System.exit(run(args, System.getenv(), System.out, System.err));
    }

    /**
     * Runs a subcommand.
     *
     * @return exit code: 0 done, 1 refused or conflict, 2 usage error, 3 daemon unreachable
     */
    public static int run(
            String[] args, Map<String, String> environment, PrintStream out, PrintStream err) {
        if (args.length == 0 || args[0].equals("--help")) {
            printHelp(out);
            return args.length == 0 ? ExitCode.USAGE : ExitCode.DONE;
        }
        Command command = Commands.all().get(args[0]);
        if (command == null) {
            String all = String.join(", ", Commands.all().keySet());
            err.println("forkseam: command " + args[0] + "; allowed: " + all);
            return ExitCode.USAGE;
        }
        CommonOptions common = new CommonOptions();
        CmdLineParser parser =
                new CmdLineParser(command, ParserProperties.defaults().withUsageWidth(100));
        try {
            List<String> commandArgs = common.parse(List.of(args).subList(1, args.length));
            if (common.mHelp) {
                printUsage(command, parser, out);
                return ExitCode.DONE;
            }
            parser.parseArgument(commandArgs);
            AdminClient client = common.createClient(environment);
            return command.run(new Command.Context(client, out, common.mJson));
        } catch (CmdLineException e) {
            err.println("forkseam " + args[0] + ": " + e.getMessage() + "; nothing was changed");
            printUsage(command, parser, err);
            return ExitCode.USAGE;
        } catch (CliException e) {
            err.println("forkseam " + args[0] + ": " + e.getMessage());
            return e.exitCode();
        }
    }

    private static void printUsage(Command command, CmdLineParser parser, PrintStream out) {
        out.println("example: forkseam " + command.example());
        parser.printUsage(out);
        out.println(" --address IP:PORT, --key KEY, --output table|json: for every command");
    }

    private static void printHelp(PrintStream out) {
        out.println("forkseam COMMAND [OPTIONS]; examples:");
        Commands.all().forEach((n, c) -> out.println("  forkseam " + c.example()));
        out.println("Every command takes --address IP:PORT, --key KEY and --output table|json;");
        out.println("address and key may come from " + ADDRESS_VARIABLE + " and " + KEY_VARIABLE);
        out.println("or from [forkseam] address, key in the INI file " + FILE_VARIABLE + " names.");
    }

    /** Options common to all commands. */
    private static final class CommonOptions {
        private String mAddress;
        private String mKey;
        private boolean mJson;
        private boolean mHelp;

        /** Parses the common options and returns the remaining arguments. */
        List<String> parse(List<String> args) throws CliException {
            List<String> rest = new ArrayList<>();
            for (int i = 0; i < args.size(); i++) {
                String a = args.get(i);
                switch (a) {
                    case "--address" -> mAddress = optionValue(args, ++i, a);
                    case "--key" -> mKey = optionValue(args, ++i, a);
                    case "--output" -> mJson = parseOutputFormat(optionValue(args, ++i, a));
                    case "--help" -> mHelp = true;
                    default -> rest.add(a);
                }
            }
            return mHelp ? List.of() : rest;
        }

        private static String optionValue(List<String> args, int i, String option)
                throws CliException {
            if (i >= args.size()) {
                throw new CliException(ExitCode.USAGE, option + " lacks its value");
            }
            return args.get(i);
        }

        private static boolean parseOutputFormat(String v) throws CliException {
            if (!v.equals("json") && !v.equals("table")) {
                throw new CliException(ExitCode.USAGE, "--output " + v + "; allowed: table, json");
            }
            return v.equals("json");
        }

        AdminClient createClient(Map<String, String> environment) throws CliException {
            Map<String, String> file = readSettingsFile(environment);
            String address =
                    firstNonEmpty(mAddress, environment.get(ADDRESS_VARIABLE), file.get("address"));
            String key = firstNonEmpty(mKey, environment.get(KEY_VARIABLE), file.get("key"));
            if (address == null
                    || !address.matches("[0-9.]+:[0-9]{1,5}|\\[[0-9a-f:]+]:[0-9]{1,5}")) {
                throw new CliException(
                        ExitCode.USAGE,
                        "address "
                                + address
                                + "; allowed: IP:PORT by --address, "
                                + ADDRESS_VARIABLE
                                + " or the settings file");
            }
            return new AdminClient(address, key == null ? "" : key);
        }

        private static Map<String, String> readSettingsFile(Map<String, String> environment)
                throws CliException {
            String name = environment.get(FILE_VARIABLE);
            if (name == null || !Files.exists(Path.of(name))) {
                return Map.of();
            }
            return IniSections.read(List.of(Path.of(name))).getOrDefault("forkseam", Map.of());
        }

        private static String firstNonEmpty(String... values) {
            for (String v : values) {
                if (v != null && !v.isEmpty()) {
                    return v;
                }
            }
            return null;
        }
    }
}
