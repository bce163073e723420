package org.forkseam.bench;

import org.forkseam.daemon.Daemon;
import org.forkseam.standin.EngineStandin;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;

/** Shows a chat on its way through a small fleet, in one process and under a minute. */
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
    private final Caller mCaller = new Caller();
    private final List<Caller.Message> mChat = new ArrayList<>();
    private String mTicket = "";

    private Tryout(LocalFleet fleet, Daemon router) {
        mFleet = fleet;
        mRouter = router;
    }

    /** Runs the try-out; with {@code --stay} it goes on until it is interrupted. */
    public static void main(String[] args) throws Exception {
        boolean stay = args.length > 0 && args[0].equals("--stay");
        try (LocalFleet fleet = LocalFleet.start(1)) {
            Daemon router = fleet.addRouter("entry-1", "hall-a", "std");
            EngineStandin.Speed speed = new EngineStandin.Speed(8, 20, 2, 65_536);
            fleet.addEngine("lm-01", "hall-a", MODEL, speed);
            fleet.addEngine("lm-02", "hall-b", MODEL, speed);
            fleet.addEngine("lm-03", "hall-c", MODEL, speed);
            new Tryout(fleet, router).show(stay);
        }
        System.exit(0);
    }

    private void show(boolean stay) throws Exception {
        Operator operator = Operator.of(mRouter);
        say("A router, three engines with their sidecars, and a platform are up.");
        Waiting.until(
                "the router sees three targets",
                () -> operator.run("get", "targets").out().lines().count() == 4);
        say("$ forkseam apply -f briefing.ini");
        say(operator.apply(CONFIG).out());
        Waiting.until(
                "every daemon has the configuration",
                () -> !operator.run("config", "status").out().contains("behind"));
        say("$ forkseam config status");
        say(operator.run("config", "status").out());
        String target = "";
        for (int turn = 1; turn <= TURNS; turn++) {
            target = turn(turn);
        }
        say("Killing " + target + ", engine and sidecar, and going on with the chat.");
        mFleet.killTarget(target);
        turn(TURNS + 1);
        say("$ forkseam explain turn-" + (TURNS + 1));
        say(operator.run("explain", "turn-" + (TURNS + 1)).out());
        if (stay) {
            stay();
        }
    }

    private String turn(int turn) throws InterruptedException {
        mChat.add(new Caller.Message("user", question(turn)));
        String body = Caller.body(MODEL, mChat, TOKENS, true);
        Caller.Answer a =
                mCaller.chat(
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
        mChat.add(new Caller.Message("assistant", a.text()));
        say(
                "turn %d: status %d whole=%s target=%s why=%s attempts=%s answer=\"%s\""
                        .formatted(
                                turn,
                                a.status(),
                                a.whole(),
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

    private void stay() throws InterruptedException {
        String callers = LocalFleet.text(mRouter.callersAddress());
        say("Staying up. Try:");
        say(
                "curl -N http://"
                        + callers
                        + "/v1/chat/completions -d '{\"model\":\"forecast-lm\",\"stream\":true,"
                        + "\"messages\":[{\"role\":\"user\",\"content\":\"stage?\"}]}'");
        say("export FORKSEAM_ADDRESS=" + LocalFleet.text(mRouter.operatorsAddress()));
        say("export FORKSEAM_KEY=" + LocalFleet.OPERATORS_KEY);
        say("bin/forkseam top");
        say("bin/forkseam label target lm-02 tier=canary");
        new CountDownLatch(1).await();
    }

    private static void say(String text) {
        System.out.println(text);
    }
}
