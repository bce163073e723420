package org.forkseam.direct.flow;

import org.forkseam.core.crash.Fingerprint;
import org.forkseam.core.member.Target;
import org.forkseam.core.outcome.SlidingWindowRetryBudget;
import org.forkseam.core.route.Pick;
import org.forkseam.core.traffic.Prompt;
import org.forkseam.core.util.Hashes;
import org.forkseam.direct.know.StreamOrigins;
import org.forkseam.direct.log.Event;

import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * Logs the decisions on one request: a log line per failed attempt and one for the outcome, and
 * notes for the decision log. Used on the event loop.
 */
final class RequestLogger {
    private final RouterContext mContext;
    private final CallerRequest mRequest;
    private final String mContentHash;
    private Optional<Selection> mSelection = Optional.empty();

    /** Slowdown of the last selected target when it was selected. */
    private double mSlowdown = 1;

    private OptionalLong mBlamed = OptionalLong.empty();

    /**
     * A selected target and the inputs of the selection.
     *
     * @param key the selection key
     * @param sharedTokens number of prompt tokens shared with other requests
     */
    record Selection(String pool, Pick pick, String key, long sharedTokens) {}

    /**
     * Values logged together with a request's outcome.
     *
     * @param bodyDelimiter what marks the end of the last attempt's response body
     */
    record Summary(
            String route,
            String team,
            long config,
            int sent,
            String bodyDelimiter,
            Optional<String> copySource,
            Optional<String> placedBy) {}

    RequestLogger(RouterContext context, CallerRequest request, long contentHash) {
        mContext = context;
        mRequest = request;
        mContentHash = Hashes.toHex(contentHash);
    }

    private long now() {
        return mContext.now();
    }

    private void addNote(String what, String where) {
        mContext.decisions().add(mRequest.id(), what, where);
    }

    void onTargetSelected(Selection selection) {
        mSelection = Optional.of(selection);
        Pick p = selection.pick();
        Target t = p.target();
        mSlowdown = t.slowdown(now());
        addNote(
                "chosen in pool "
                        + selection.pool()
                        + " as "
                        + p.reason()
                        + ", rank "
                        + p.rank()
                        + ", load "
                        + p.load()
                        + " ("
                        + t.loadReportAgeMillis(now())
                        + " ms old), list "
                        + mContext.fleetState().targets().position(),
                t.entry().id());
    }

    /** Logs how the origin of a resumed stream was found. */
    void onOrigin(StreamOrigins.Source source) {
        String name = source.name().toLowerCase(Locale.ROOT);
        mContext.meters().onStreamResumed(name);
        addNote("stream origin found by " + name, mRequest.head().resumes().orElse(""));
        Event.of("stream_resumed")
                .with("request", mRequest.id())
                .with("resumes", mRequest.head().resumes().orElse(""))
                .with("last_event", mRequest.head().lastEventId().orElse(""))
                .with("origin", name)
                .with("took_ms", now() - mRequest.receivedMillis())
                .log();
    }

    void onHeldForTarget(long millis) {
        addNote("waiting " + millis + " ms for a target to accept requests again", "");
        mContext.meters().onHeldForTarget();
    }

    /**
     * Logs an attempt without a final response.
     *
     * @param sent number of attempts in which the request was sent
     * @param timeoutMillis time without data allowed to the attempt; empty if it is fixed
     * @param lastEventId id of the event after which another attempt would continue
     */
    void onAttemptEnd(
            Attempt a,
            AttemptResult result,
            int sent,
            OptionalLong timeoutMillis,
            Optional<String> lastEventId) {
        addNote(
                "attempt ended "
                        + result.kind()
                        + (result.kind().mayHaveRun() ? ", may have run: " : ", not run: ")
                        + result.detail(),
                a.target().entry().id());
        Event e = Event.of("attempt_ended");
        e.with("request", mRequest.id())
                .with("content", mContentHash)
                .with("parts", sharedParts())
                .with("target", a.target().entry().id())
                .with("address", a.target().entry().address())
                .with("version", a.target().entry().version())
                .with("end", result.kind())
                .with("may_have_run", result.kind().mayHaveRun())
                .with("detail", result.detail())
                .with("body_end", a.bodyDelimiter())
                .with("sent", sent)
                .with("age_ms", a.ageMillis(now()))
                .with("target_share", a.target().health().trafficShare(now()));
        timeoutMillis.ifPresent(ms -> e.with("timeout_ms", ms));
        lastEventId.ifPresent(id -> e.with("last_event", id));
        e.log();
    }

    /** Records for which of the request's fingerprints it is refused. */
    void onQuarantined(long fingerprint) {
        mBlamed = OptionalLong.of(fingerprint);
        addNote("quarantined", Hashes.toHex(fingerprint));
    }

    /** Returns the ids of the shared parts of the prompt, separated by commas. */
    private String sharedParts() {
        return sharedPartIds().collect(Collectors.joining(","));
    }

    private Stream<String> sharedPartIds() {
        return mRequest.head().prompt().map(Prompt::sharedParts).orElse(List.of()).stream()
                .map(Prompt.Part::id);
    }

    private String partOf(long fingerprint) {
        return sharedPartIds()
                .filter(id -> Fingerprint.ofPart(id) == fingerprint)
                .findFirst()
                .orElse("");
    }

    /**
     * Logs that a request is not retried because the pool's retry budget is used up.
     *
     * @param routers number of routers among which the allowance is divided; 0 if unknown
     */
    void onRetryDenied(String pool, SlidingWindowRetryBudget.Usage usage, int routers) {
        addNote("retry budget of pool " + pool + " used up: " + usage.retries() + " retries", "");
        Event.of("retry_denied")
                .with("request", mRequest.id())
                .with("pool", pool)
                .with("window_requests", usage.requests())
                .with("window_retries", usage.retries())
                .with("allowance", usage.allowance())
                .with("routers", routers)
                .log();
    }

    void onEnd(String outcome, Summary s) {
        long durationMillis = now() - mRequest.receivedMillis();
        mContext.meters().onOutcome(outcome);
        mContext.meters().onEnd(durationMillis);
        addNote(outcome + " after " + durationMillis + " ms, configuration " + s.config(), "");
        Event e =
                Event.of(outcome)
                        .with("request", mRequest.id())
                        .with("content", mContentHash)
                        .with("route", s.route())
                        .with("team", s.team())
                        .with("config", s.config())
                        .with("sent", s.sent())
                        .with("body_end", s.bodyDelimiter())
                        .with("took_ms", durationMillis);
        mRequest.head().resumes().ifPresent(id -> e.with("resumes", id));
        mBlamed.ifPresent(f -> e.with("blamed", Hashes.toHex(f)).with("blamed_part", partOf(f)));
        mSelection.ifPresent(c -> addSelection(e, c, s));
        e.log();
    }

    private void addSelection(Event e, Selection c, Summary s) {
        Target t = c.pick().target();
        e.with("pool", c.pool())
                .with("target", t.entry().id())
                .with("version", t.entry().version())
                .with("key", c.key())
                .with("shared_tokens", c.sharedTokens())
                .with("copy_from", s.copySource().orElse(""))
                .with("pick", c.pick().reason())
                .with("rank", c.pick().rank())
                .with("load", c.pick().load())
                .with("load_age_ms", t.loadReportAgeMillis(now()))
                .with("slowdown", mSlowdown)
                .with("list", mContext.fleetState().targets().position());
        s.placedBy().ifPresent(p -> e.with("placed_by", p));
    }
}
