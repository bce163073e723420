package org.forkseam.direct.flow;

import org.forkseam.core.member.Target;
import org.forkseam.core.route.Pick;
import org.forkseam.core.util.Hashes;
import org.forkseam.direct.log.Event;

import java.util.Optional;

/**
 * Writes down what is decided on one request: a log line for each attempt that brought no answer
 * and one for the end, and notes for operators who ask. Used on the event loop.
 */
final class FlowRecord {
    private final RouterContext mContext;
    private final CallerRequest mRequest;
    private final String mContent;
    private Optional<Choice> mChoice = Optional.empty();

    /**
     * Holds a choice of target and what decided it.
     *
     * @param key what the choice was made by
     * @param sharedTokens tokens of the prompt that other requests share
     */
    record Choice(String pool, Pick pick, String key, long sharedTokens) {}

    /** Holds what a request's last line tells beside its outcome. */
    record Summary(String route, String team, long config, int sent, Optional<String> copySource) {}

    FlowRecord(RouterContext context, CallerRequest request, long content) {
        mContext = context;
        mRequest = request;
        mContent = Hashes.toHex(content);
    }

    private long now() {
        return mContext.now();
    }

    private void note(String what, String where) {
        mContext.decisions().add(mRequest.id(), what, where);
    }

    void onChoice(Choice choice) {
        mChoice = Optional.of(choice);
        Pick p = choice.pick();
        Target t = p.target();
        note(
                "chosen in pool "
                        + choice.pool()
                        + " as "
                        + p.reason()
                        + ", rank "
                        + p.rank()
                        + ", load "
                        + p.load()
                        + " ("
                        + t.readingAgeMillis(now())
                        + " ms old), list "
                        + mContext.knowledge().targets().position(),
                t.entry().id());
    }

    void onWait(long millis) {
        note("waits " + millis + " ms for a target that wants work again", "");
        mContext.counters().onWait();
    }

    void onAttemptEnd(Attempt a, AttemptEnd end, int sent) {
        note(
                "attempt ended "
                        + end.kind()
                        + (end.kind().mayHaveRun() ? ", may have run: " : ", not run: ")
                        + end.detail(),
                a.target().entry().id());
        Event.of("attempt_ended")
                .with("request", mRequest.id())
                .with("content", mContent)
                .with("target", a.target().entry().id())
                .with("address", a.target().entry().address())
                .with("end", end.kind())
                .with("may_have_run", end.kind().mayHaveRun())
                .with("detail", end.detail())
                .with("sent", sent)
                .with("age_ms", a.ageMillis(now()))
                .with("target_share", a.target().health().share(now()))
                .log();
    }

    void onEnd(String outcome, Summary s) {
        long took = now() - mRequest.receivedMillis();
        mContext.counters().onOutcome(outcome);
        mContext.counters().onEnd(took);
        note(outcome + " after " + took + " ms, configuration " + s.config(), "");
        Event e =
                Event.of(outcome)
                        .with("request", mRequest.id())
                        .with("content", mContent)
                        .with("route", s.route())
                        .with("team", s.team())
                        .with("config", s.config())
                        .with("sent", s.sent())
                        .with("took_ms", took);
        mChoice.ifPresent(c -> addChoice(e, c, s));
        e.log();
    }

    private void addChoice(Event e, Choice c, Summary s) {
        Target t = c.pick().target();
        e.with("pool", c.pool())
                .with("target", t.entry().id())
                .with("key", c.key())
                .with("shared_tokens", c.sharedTokens())
                .with("copy_from", s.copySource().orElse(""))
                .with("pick", c.pick().reason())
                .with("rank", c.pick().rank())
                .with("load", c.pick().load())
                .with("load_age_ms", t.readingAgeMillis(now()))
                .with("list", mContext.knowledge().targets().position());
    }
}
