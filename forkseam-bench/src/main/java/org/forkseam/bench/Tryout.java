package org.forkseam.bench;

import org.forkseam.daemon.Daemon;
import org.forkseam.standin.EngineStandin;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;

/** Demo that routes a chat through a small fleet in one process. Not thread-safe. */
public final class Tryout {
    private static final String MODEL = "forecast-lm";
    private static final int TOKENS = 12;
    private static final int TURNS = 3;
    private static final String CONFIG =
            """
            [pool briefing]
            selector = model=forecast-lm
            prefer = reuse
            max-load-multiple = 1.25
            [team dispatch]
            labels = duty=flood
            weight = 2
            [intent briefings]
            selector = kind=chat,model=forecast-lm
            pool = briefing
            """;

    private final LocalFleet mFleet;
    private final Daemon mRouter;
    private final RouterClient mClient = new RouterClient();
    private final List<RouterClient.Message> mChat = new ArrayList<>();
    private String mTicket = "";

    private Tryout(LocalFleet fleet, Daemon router) {
        mFleet = fleet;
        mRouter = router;
    }

    /** Runs the demo; with {@code --stay} the fleet keeps running until interrupted. */
    public static void main(String[] args) throws Exception {
        boolean stay = args.length > 0 && args[0].equals("--stay");
        try (LocalFleet fleet = LocalFleet.start(1)) {
            Daemon router = fleet.addRouter("entry-1", "hall-a", "std");
            EngineStandin.Speed speed = new EngineStandin.Speed(8, 20, 2, 65_536);
            fleet.addEngine("lm-01", "hall-a", MODEL, speed);
            fleet.addEngine("lm-02", "hall-b", MODEL, speed);
            fleet.addEngine("lm-03", "hall-c", MODEL, speed);
            new Tryout(fleet, router).run(stay);
        }
        System.exit(0);
    }

    private void run(boolean stay) throws Exception {
        CliRunner cli = CliRunner.of(mRouter);
        print("A router, three engines with their sidecars, and a platform are up.");
        Await.until(
                "the router sees three targets",
                () -> cli.run("get", "targets").out().lines().count() == 4);
        print("$ forkseam apply -f briefing.ini");
        print(cli.apply(CONFIG).out());
        Await.until(
                "every daemon has the configuration",
                () -> !cli.run("config", "status").out().contains("behind"));
        print("$ forkseam config status");
        print(cli.run("config", "status").out());
        String target = "";
        for (int turn = 1; turn <= TURNS; turn++) {
            target = sendTurn(turn);
        }
        print("Killing " + target + ", engine and sidecar, and going on with the chat.");
        mFleet.killTarget(target);
        sendTurn(TURNS + 1);
        print("$ forkseam explain turn-" + (TURNS + 1));
        print(cli.run("explain", "turn-" + (TURNS + 1)).out());
        if (stay) {
            keepRunning();
        }
    }

    private String sendTurn(int turn) throws InterruptedException {
        mChat.add(new RouterClient.Message("user", question(turn)));
        String body = RouterClient.chatBody(MODEL, mChat, TOKENS, true);
        RouterClient.Response a =
                mClient.chat(
                        mRouter.callersAddress(),
                        body,
                        mTicket.isEmpty()
                                ? Map.of("Team", "dispatch", "Request-Id", "turn-" + turn)
                                : Map.of(
                                        "Team",
                                        "dispatch",
                                        "Request-Id",
                                        "turn-" + turn,
                                        "Ticket",
                                        mTicket));
        mTicket = a.header("ticket");
        mChat.add(new RouterClient.Message("assistant", a.text()));
        print(
                "turn %d: status %d whole=%s target=%s why=%s attempts=%s answer=\"%s\""
                        .formatted(
                                turn,
                                a.status(),
                                a.complete(),
                                a.header("target"),
                                a.header("why"),
                                a.header("attempts"),
                                a.text().strip()));
        return a.header("target");
    }

    private static String question(int turn) {
        return "Flood stage at gauge "
                + turn
                + " on the Irtysh? "
                + "Station readings. ".repeat(20);
    }

    private void keepRunning() throws InterruptedException {
        String callers = LocalFleet.toHostPort(mRouter.callersAddress());
        print("Staying up. Try:");
        print(
                "curl -N http://"
                        + callers
                        + "/v1/chat/completions -d '{\"model\":\"forecast-lm\",\"stream\":true,"
                        + "\"messages\":[{\"role\":\"user\",\"content\":\"stage?\"}]}'");
        print("export FORKSEAM_ADDRESS=" + LocalFleet.toHostPort(mRouter.operatorsAddress()));
        print("export FORKSEAM_KEY=" + LocalFleet.OPERATORS_KEY);
        print("bin/forkseam top");
        print("bin/forkseam label target lm-02 tier=canary");
        new CountDownLatch(1).await();
    }

    private static void print(String text) {
        System.out.println(text);
    }
}
