package org.forkseam.daemon;

import org.forkseam.daemon.cfg.SettingKey;
import org.forkseam.daemon.cfg.Settings;
import org.forkseam.daemon.cfg.SettingsException;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;
import org.kohsuke.args4j.ParserProperties;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import java.nio.file.Path;
import java.util.SplittableRandom;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;

/** Command-line entry point: runs a daemon from a settings file until the JVM shuts down. */
public final class DaemonMain {
    private static final int EXIT_FAILED = 1;
    private static final int EXIT_USAGE = 2;

    @Option(name = "--settings", metaVar = "FILE", usage = "INI file with the daemon's settings")
    private Path mFile;

    @Option(name = "--check", usage = "check the settings and start nothing")
    private boolean mCheck;

    @Option(name = "--help", help = true, usage = "show this text")
    private boolean mHelp;

    private DaemonMain() {}

    /** Runs the daemon; exits with 2 on invalid usage or settings, 1 if it fails to start. */
    public static void main(String[] args) throws InterruptedException {
        int code = new DaemonMain().run(args);
        if (code != 0) {
            System.exit(code);
        }
    }

    private int run(String[] args) throws InterruptedException {
        CmdLineParser parser =
                new CmdLineParser(this, ParserProperties.defaults().withUsageWidth(100));
        try {
            parser.parseArgument(args);
        } catch (CmdLineException e) {
            return usage(parser, e.getMessage());
        }
        if (mHelp) {
            System.out.println("forkseamd --settings FILE [--check]");
            parser.printUsage(System.out);
            return 0;
        }
        if (mFile == null) {
            return usage(parser, "--settings FILE is missing");
        }
        Settings settings;
        try {
            settings = Settings.read(mFile);
        } catch (SettingsException e) {
            e.errors().forEach(System.err::println);
            return EXIT_USAGE;
        }
        if (mCheck) {
            System.out.println(mFile + ": all settings are valid");
            return 0;
        }
        return serve(settings);
    }

    private static int usage(CmdLineParser parser, String fault) {
        System.err.println("forkseamd: " + fault + "; usage: forkseamd --settings FILE [--check]");
        parser.printUsage(System.err);
        return EXIT_USAGE;
    }

    private static int serve(Settings settings) throws InterruptedException {
        // Read by the logging configuration; must be set before the first logger is created.
        System.setProperty("forkseam.log.format", settings.text(SettingKey.LOG_FORMAT));
        Logger log = LoggerFactory.getLogger(DaemonMain.class);
        Daemon daemon = Daemon.of(settings, new SplittableRandom());
        try {
            daemon.start();
        } catch (ExecutionException e) {
            log.error("event=start-failed cause=\"{}\"", e.getCause().toString());
            return EXIT_FAILED;
        }
        log.info(
                "event=started host={} role={} wire={} operators={}",
                settings.text(SettingKey.HOST),
                settings.text(SettingKey.ROLE),
                daemon.wireAddress(),
                daemon.operatorsAddress());
        CountDownLatch stopped = new CountDownLatch(1);
        Runtime.getRuntime()
                .addShutdownHook(new Thread(() -> stop(daemon, stopped, log), "planned-stop"));
        stopped.await();
        return 0;
    }

    private static void stop(Daemon daemon, CountDownLatch stopped, Logger log) {
        try {
            daemon.stop();
            log.info("event=stopped");
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        stopped.countDown();
    }
}
