package org.forkseam.direct.know;

import org.forkseam.core.member.Target;
import org.forkseam.core.member.TargetWord;
import org.forkseam.direct.log.Event;

import java.util.Map;
import java.util.TreeMap;

/**
 * Takes in what targets say of themselves in the heads of their answers: a log line for what
 * changes, and counts. Used on the event loop.
 *
 * @since 0.6
 */
public final class TargetWords {
    private final Map<String, Long> mCounts = new TreeMap<>();

    TargetWords() {}

    /** Takes in what the head of a target's answer says. */
    public void onAnswer(Target t, TargetWord word) {
        if (word.isNone()) {
            return;
        }
        if (word.leaving()) {
            count("leaving_by_answer");
            if (t.noteSaysLeaving()) {
                log(t, "leaving", "answer");
            }
        }
    }

    private void count(String word) {
        mCounts.merge(word, 1L, Long::sum);
    }

    private static void log(Target t, String word, String by) {
        Event.always("target_word")
                .with("target", t.entry().id())
                .with("born", t.entry().born())
                .with("word", word)
                .with("by", by)
                .with("in_flight", t.inFlight())
                .with("takes_work", t.takesWork())
                .log();
    }

    /** Returns how often each word was heard, by way. */
    public Map<String, Long> counts() {
        return mCounts;
    }
}
