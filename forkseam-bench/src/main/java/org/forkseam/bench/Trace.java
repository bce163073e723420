package org.forkseam.bench;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Makes a seeded trace: teams by Zipf's law, chats that return after pauses with grown prompts,
 * plain calls, some of them unrepeatable. The same seed gives the same trace.
 */
final class Trace {
    private static final int SYSTEM_CHARS = 1600;
    private static final int QUESTION_CHARS = 600;
    private static final int ANSWER_TOKENS = 24;
    private static final double CALL_SHARE = 0.1;
    private static final double UNREPEATABLE_SHARE = 0.02;
    private static final double ZIPF = 1.1;
    private static final int SURGING_TEAMS = 2;

    /**
     * Is one request of the trace.
     *
     * @param atMillis when it is sent, from the trace's start
     * @param team who sends it
     * @param chat number of its chat, or -1 for a plain call
     * @param turn which turn of the chat
     * @param tokens tokens asked for
     * @param unrepeatable whether it may run at most once
     */
    record Request(
            long atMillis, String team, int chat, int turn, int tokens, boolean unrepeatable) {}

    /**
     * Shapes a trace.
     *
     * @param seconds how long it lasts
     * @param perSecond requests a second on average
     * @param chats chats that take turns
     * @param teams teams that send
     * @param surge whether two teams send ten times as much in the middle third
     */
    record Shape(int seconds, double perSecond, int chats, int teams, boolean surge) {}

    private final Shape mShape;
    private final SplittableRandom mRandom;
    private final double[] mTeamShare;

    private Trace(Shape shape, long seed) {
        mShape = shape;
        mRandom = new SplittableRandom(seed);
        mTeamShare = new double[shape.teams()];
        double sum = 0;
        for (int i = 0; i < shape.teams(); i++) {
            sum += 1 / Math.pow(i + 1, ZIPF);
            mTeamShare[i] = sum;
        }
        for (int i = 0; i < shape.teams(); i++) {
            mTeamShare[i] /= sum;
        }
    }

    /** Makes a trace, sorted by time. */
    static List<Request> of(Shape shape, long seed) {
        return new Trace(shape, seed).make();
    }

    private List<Request> make() {
        List<Request> out = new ArrayList<>();
        int[] turns = new int[mShape.chats()];
        int[] teamOf = new int[mShape.chats()];
        for (int i = 0; i < teamOf.length; i++) {
            teamOf[i] = team();
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
            boolean call = unrepeatable || mRandom.nextDouble() < CALL_SHARE;
            String name = "team-" + teamOf[chat];
            if (call) {
                out.add(new Request((long) at, name, -1, 0, 0, unrepeatable));
            } else {
                out.add(new Request((long) at, name, chat, turns[chat]++, ANSWER_TOKENS, false));
            }
        }
        return out;
    }

    private int team() {
        double u = mRandom.nextDouble();
        int i = 0;
        while (mTeamShare[i] < u) {
            i++;
        }
        return i;
    }

    /** Returns the beginning that all chats of a team share. */
    static Caller.Message system(String team) {
        return new Caller.Message("system", filler("rules of " + team, SYSTEM_CHARS));
    }

    /** Returns what a chat asks in a turn. */
    static Caller.Message question(int chat, int turn) {
        return new Caller.Message("user", filler("chat " + chat + " turn " + turn, QUESTION_CHARS));
    }

    private static String filler(String about, int chars) {
        StringBuilder sb = new StringBuilder(chars + 40);
        for (int i = 0; sb.length() < chars; i++) {
            sb.append(about).append(' ').append(i).append(". ");
        }
        return sb.substring(0, chars);
    }
}
