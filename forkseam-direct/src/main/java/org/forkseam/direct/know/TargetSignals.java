package org.forkseam.direct.know;

import org.forkseam.core.member.AvailabilitySignal;
import org.forkseam.core.member.Target;
import org.forkseam.core.member.TargetDirectory;
import org.forkseam.core.member.TargetIncarnation;
import org.forkseam.core.share.GossipQueue;
import org.forkseam.core.util.BoundedMap;
import org.forkseam.core.util.Clock;
import org.forkseam.direct.log.Event;
import org.forkseam.direct.spi.ResponseHead;

import java.util.EnumMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/**
 * Handles signals that targets send in the headers of their responses, and exchanges with other
 * routers which targets are leaving. Logs each change and counts signals by source. Confined to the
 * event loop.
 *
 * <p>Only leaving is passed on; a hold-off applies to the router that received it.
 *
 * @since 0.6
 */
public final class TargetSignals {
    /**
     * Target incarnations in one message, 4 bytes each; limited by the maximum size of the other
     * parts.
     */
    static final int MAX_LEAVING = 16;

    /** Incarnations remembered to log a malformed signal of each only once. */
    private static final int MAX_LOGGED_INCARNATIONS = 256;

    private final TargetDirectory mTargets;
    private final Clock mClock;
    private final GossipQueue<Integer> mLeavingGossip = GossipQueue.of(MAX_LEAVING, f -> 0);
    private final Map<TargetIncarnation, Boolean> mLogged =
            BoundedMap.byInsertion(MAX_LOGGED_INCARNATIONS);
    private final Map<Signal, Long> mCounts = new EnumMap<>(Signal.class);

    /** Kind of signal and its source. */
    public enum Signal {
        /** A response announces that its target is leaving. */
        LEAVING_BY_ANSWER,
        /** Another router reports that a target is leaving. */
        LEAVING_BY_ROUTER,
        /** A response asks for no requests for some time. */
        HOLD_OFF_BY_ANSWER,
        /** A response shows that another target now uses the address. */
        REPLACED_BY_ANSWER,
        /** A response has a signal header that cannot be parsed. */
        MALFORMED_BY_ANSWER
    }

    TargetSignals(TargetDirectory targets, Clock clock) {
        mTargets = targets;
        mClock = clock;
    }

    // ---------------------------------------------------------------- responses

    /** Handles the signals in the headers of a target's response. */
    public void onAnswer(Target t, ResponseHead head) {
        if (head.wrongTarget()) {
            record(t, Signal.REPLACED_BY_ANSWER, t.onReplaced());
            return;
        }
        AvailabilitySignal signal = head.signal();
        if (signal.isNone()) {
            return;
        }
        if (signal.leaving()) {
            onLeaving(t);
        }
        signal.holdOffMillis().ifPresent(ms -> onHoldOff(t, ms));
        signal.malformed().ifPresent(field -> onMalformed(t, field));
    }

    private void onLeaving(Target t) {
        boolean isNew = t.onLeavingAnnounced();
        record(t, Signal.LEAVING_BY_ANSWER, isNew);
        if (isNew) {
            mLeavingGossip.add(t.shortHash());
        }
    }

    private void onHoldOff(Target t, long millis) {
        record(t, Signal.HOLD_OFF_BY_ANSWER, t.onHoldOff(millis, mClock.nowMillis()));
    }

    private void onMalformed(Target t, String field) {
        count(Signal.MALFORMED_BY_ANSWER);
        if (mLogged.put(t.incarnation(), true) == null) {
            Event.always("target_word_malformed")
                    .with("target", t.entry().id())
                    .with("field", field)
                    .log();
        }
    }

    // ---------------------------------------------------------------- other routers

    /** Returns the short hashes of leaving targets to send to another router. */
    List<Integer> digest() {
        return mLeavingGossip.nextBatch();
    }

    /** Applies another router's short hashes of leaving targets. */
    void apply(List<Integer> leaving) {
        for (int shortHash : leaving) {
            count(Signal.LEAVING_BY_ROUTER);
            mTargets.onLeavingReported(shortHash)
                    .ifPresent(
                            t -> {
                                log(t, Signal.LEAVING_BY_ROUTER);
                                mLeavingGossip.add(shortHash);
                            });
        }
    }

    // ---------------------------------------------------------------- counters and log events

    private void record(Target t, Signal signal, boolean isNew) {
        count(signal);
        if (isNew) {
            log(t, signal);
        }
    }

    private void count(Signal signal) {
        mCounts.merge(signal, 1L, Long::sum);
    }

    private void log(Target t, Signal signal) {
        long now = mClock.nowMillis();
        Event.always("target_word")
                .with("target", t.entry().id())
                .with("born", t.entry().born())
                .with("word", name(signal))
                .with("state", t.availability().state(now))
                .with("hold_off_ms", Math.max(0, t.availability().holdOffUntil() - now))
                .with("in_flight", t.inFlight())
                .log();
    }

    /** Returns the name of a signal in logs and metrics. */
    public static String name(Signal signal) {
        return signal.name().toLowerCase(Locale.ROOT);
    }

    /** Returns how often a signal was received since the start. */
    public long received(Signal signal) {
        return mCounts.getOrDefault(signal, 0L);
    }

    /** Returns how often each signal was received since the start. */
    Map<String, Long> dump() {
        Map<String, Long> m = new TreeMap<>();
        mCounts.forEach((signal, n) -> m.put(name(signal), n));
        return m;
    }
}
