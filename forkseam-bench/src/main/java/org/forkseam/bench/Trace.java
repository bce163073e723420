package org.forkseam.bench;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Generates a reproducible request trace from a seed: teams follow Zipf's law, chats grow by turns,
 * and some requests are service calls, a part of them unrepeatable. Not thread-safe.
 */
final class Trace {
    private static final int SYSTEM_CHARS = 1600;
    private static final int QUESTION_CHARS = 600;
    private static final int ANSWER_TOKENS = 24;
    private static final double SERVICE_CALL_SHARE = 0.1;
    private static final double UNREPEATABLE_SHARE = 0.02;
    private static final double ZIPF_EXPONENT = 1.1;
    private static final int SURGING_TEAMS = 2;

    /**
     * A request of the trace.
     *
     * @param atMillis send time relative to the start of the trace
     * @param team team that sends it
     * @param chat index of the chat, or -1 for a service call
     * @param turn index of the turn in the chat
     * @param tokens number of tokens requested
     * @param unrepeatable whether it may run at most once
     */
    record Request(
            long atMillis, String team, int chat, int turn, int tokens, boolean unrepeatable) {}

    /**
     * Parameters of a trace.
     *
     * @param seconds duration
     * @param perSecond average requests per second
     * @param chats number of concurrent chats
     * @param teams number of teams
     * @param surge whether two teams send additional traffic in the middle third
     */
    record Shape(int seconds, double perSecond, int chats, int teams, boolean surge) {}

    private final Shape mShape;
    private final SplittableRandom mRandom;
    private final double[] mCumulativeTeamShare;

    private Trace(Shape shape, long seed) {
        mShape = shape;
        mRandom = new SplittableRandom(seed);
        mCumulativeTeamShare = new double[shape.teams()];
        double sum = 0;
        for (int i = 0; i < shape.teams(); i++) {
            sum += 1 / Math.pow(i + 1, ZIPF_EXPONENT);
            mCumulativeTeamShare[i] = sum;
        }
        for (int i = 0; i < shape.teams(); i++) {
            mCumulativeTeamShare[i] /= sum;
        }
    }

    /** Generates a trace, sorted by time. */
    static List<Request> of(Shape shape, long seed) {
        return new Trace(shape, seed).generate();
    }

    private List<Request> generate() {
        List<Request> out = new ArrayList<>();
        int[] turns = new int[mShape.chats()];
        int[] teamOf = new int[mShape.chats()];
        for (int i = 0; i < teamOf.length; i++) {
            teamOf[i] = sampleTeam();
        }
        double at = 0;
        double end = mShape.seconds() * 1000.0;
        while (at < end) {
            boolean surging = mShape.surge() && at > end / 3 && at < end * 2 / 3;
            double rate = mShape.perSecond() * (surging ? 2 : 1);
            at += -Math.log(1 - mRandom.nextDouble()) * 1000 / rate;
            boolean fromSurge = surging && mRandom.nextBoolean();
            int chat = mRandom.nextInt(mShape.chats());
            while (fromSurge && teamOf[chat] >= SURGING_TEAMS) {
                chat = mRandom.nextInt(mShape.chats());
            }
            boolean unrepeatable = mRandom.nextDouble() < UNREPEATABLE_SHARE;
            boolean call = unrepeatable || mRandom.nextDouble() < SERVICE_CALL_SHARE;
            String name = "team-" + teamOf[chat];
            if (call) {
                out.add(new Request((long) at, name, -1, 0, 0, unrepeatable));
            } else {
                out.add(new Request((long) at, name, chat, turns[chat]++, ANSWER_TOKENS, false));
            }
        }
        return out;
    }

    private int sampleTeam() {
        double u = mRandom.nextDouble();
        int i = 0;
        while (mCumulativeTeamShare[i] < u) {
            i++;
        }
        return i;
    }

    /** Returns the system prompt shared by all chats of a team. */
    static RouterClient.Message systemPrompt(String team) {
        return new RouterClient.Message("system", filler("rules of " + team, SYSTEM_CHARS));
    }

    /** Returns the user message of a turn. */
    static RouterClient.Message userPrompt(int chat, int turn) {
        return new RouterClient.Message(
                "user", filler("chat " + chat + " turn " + turn, QUESTION_CHARS));
    }

    private static String filler(String about, int chars) {
        StringBuilder sb = new StringBuilder(chars + 40);
        for (int i = 0; sb.length() < chars; i++) {
            sb.append(about).append(' ').append(i).append(". ");
        }
        return sb.substring(0, chars);
    }
}
