package org.forkseam.direct.flow;

import org.forkseam.core.member.Target;
import org.forkseam.core.util.Clock;
import org.forkseam.direct.log.Event;
import org.forkseam.direct.spi.ResponseHead;

/**
 * Records the load that targets report in their responses; counts and logs malformed reports. Used
 * on the event loop.
 */
final class LoadReports {
    /**
     * Interval between log lines, since a faulty target sends a malformed report with each
     * response, which would crowd out the lines about requests.
     */
    private static final long LOG_INTERVAL_MILLIS = 1_000;

    /** Longer texts are cut in the log. */
    private static final int MAX_LOGGED_LENGTH = 64;

    private static final long NEVER = Long.MIN_VALUE / 2;

    private final Clock mClock;
    private final RequestMeters mMeters;
    private long mLoggedAt = NEVER;

    LoadReports(Clock clock, RequestMeters meters) {
        mClock = clock;
        mMeters = meters;
    }

    void onHead(Target t, ResponseHead head) {
        head.load().ifPresent(l -> t.onLoadReported(l, mClock.nowMillis()));
        head.malformedLoad().ifPresent(text -> onMalformed(t, text));
    }

    private void onMalformed(Target t, String text) {
        mMeters.onMalformedLoad();
        long now = mClock.nowMillis();
        if (now - mLoggedAt < LOG_INTERVAL_MILLIS) {
            return;
        }
        mLoggedAt = now;
        Event.of("load_malformed")
                .with("target", t.entry().id())
                .with("value", text.substring(0, Math.min(MAX_LOGGED_LENGTH, text.length())))
                .log();
    }
}
