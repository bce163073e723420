package org.forkseam.direct.know;

import org.forkseam.core.member.Target;
import org.forkseam.core.member.TargetDirectory;
import org.forkseam.core.member.TargetStart;
import org.forkseam.core.member.TargetWord;
import org.forkseam.core.share.GossipQueue;
import org.forkseam.core.util.BoundedMap;
import org.forkseam.core.util.Clock;
import org.forkseam.direct.log.Event;
import org.forkseam.direct.spi.AnswerHead;

import java.util.EnumMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/**
 * Takes in what targets say of themselves in the heads of their answers, and tells other routers
 * which of them leave: a log line for what changes, and counts by way. Used on the event loop.
 *
 * <p>Only leaving is told on. A target that asks for a while without requests asks the router that
 * it answers.
 *
 * @since 0.6
 */
public final class TargetWords {
    /**
     * Starts told of in a message, 4 bytes each: what the other parts at their most leave room for.
     */
    static final int MAX_LEAVING = 16;

    /** Starts of targets whose malformed words have been logged. */
    private static final int MAX_LOGGED = 256;

    private final TargetDirectory mTargets;
    private final Clock mClock;
    private final GossipQueue<Integer> mLeaving = GossipQueue.of(MAX_LEAVING, f -> 0);
    private final Map<TargetStart, Boolean> mLogged = BoundedMap.byInsertion(MAX_LOGGED);
    private final Map<Word, Long> mCounts = new EnumMap<>(Word.class);

    /** Names a word and the way by which it came. */
    public enum Word {
        /** An answer says that its target leaves. */
        LEAVING_BY_ANSWER,
        /** Another router says that a target leaves. */
        LEAVING_BY_ROUTER,
        /** An answer asks for a while without requests. */
        HOLD_OFF_BY_ANSWER,
        /** An answer shows that another target lives at the address. */
        REPLACED_BY_ANSWER,
        /** An answer has a field that says nothing that could be acted on. */
        MALFORMED_BY_ANSWER
    }

    TargetWords(TargetDirectory targets, Clock clock) {
        mTargets = targets;
        mClock = clock;
    }

    // ---------------------------------------------------------------- answers

    /** Takes in what the head of a target's answer says. */
    public void onAnswer(Target t, AnswerHead head) {
        if (head.wrongTarget()) {
            note(t, Word.REPLACED_BY_ANSWER, t.onReplaced());
            return;
        }
        TargetWord word = head.word();
        if (word.isNone()) {
            return;
        }
        if (word.leaving()) {
            onLeaving(t);
        }
        word.holdOffMillis().ifPresent(ms -> onHoldOff(t, ms));
        word.malformed().ifPresent(field -> onMalformed(t, field));
    }

    private void onLeaving(Target t) {
        boolean news = t.onSaysLeaving();
        note(t, Word.LEAVING_BY_ANSWER, news);
        if (news) {
            mLeaving.add(t.shortHash());
        }
    }

    private void onHoldOff(Target t, long millis) {
        note(t, Word.HOLD_OFF_BY_ANSWER, t.onHoldOff(millis, mClock.nowMillis()));
    }

    private void onMalformed(Target t, String field) {
        count(Word.MALFORMED_BY_ANSWER);
        if (mLogged.put(t.start(), true) == null) {
            Event.always("target_word_malformed")
                    .with("target", t.entry().id())
                    .with("field", field)
                    .log();
        }
    }

    // ---------------------------------------------------------------- other routers

    /** Returns which starts of targets another router should be told to be leaving. */
    List<Integer> news() {
        return mLeaving.nextBatch();
    }

    /** Takes in which starts of targets another router knows to be leaving. */
    void take(List<Integer> leaving) {
        for (int start : leaving) {
            count(Word.LEAVING_BY_ROUTER);
            mTargets.onToldLeaving(start)
                    .ifPresent(
                            t -> {
                                log(t, Word.LEAVING_BY_ROUTER);
                                mLeaving.add(start);
                            });
        }
    }

    // ---------------------------------------------------------------- counts and lines

    private void note(Target t, Word word, boolean news) {
        count(word);
        if (news) {
            log(t, word);
        }
    }

    private void count(Word word) {
        mCounts.merge(word, 1L, Long::sum);
    }

    private void log(Target t, Word word) {
        long now = mClock.nowMillis();
        Event.always("target_word")
                .with("target", t.entry().id())
                .with("born", t.entry().born())
                .with("word", name(word))
                .with("state", t.availability().state(now))
                .with("hold_off_ms", Math.max(0, t.availability().holdOffUntil() - now))
                .with("in_flight", t.inFlight())
                .log();
    }

    /** Returns the name of a word for logs and metrics. */
    public static String name(Word word) {
        return word.name().toLowerCase(Locale.ROOT);
    }

    /** Returns how often a word was heard since the start. */
    public long heard(Word word) {
        return mCounts.getOrDefault(word, 0L);
    }

    /** Returns how often each word was heard since the start. */
    Map<String, Long> dump() {
        Map<String, Long> m = new TreeMap<>();
        mCounts.forEach((word, n) -> m.put(name(word), n));
        return m;
    }
}
