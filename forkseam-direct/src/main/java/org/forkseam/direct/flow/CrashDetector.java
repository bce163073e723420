package org.forkseam.direct.flow;

import org.forkseam.core.crash.RequestFingerprints;
import org.forkseam.core.member.Target;
import org.forkseam.core.member.TargetIncarnation;
import org.forkseam.direct.io.ConnectionCallback;
import org.forkseam.direct.io.ExchangeFailure;
import org.forkseam.direct.io.HttpConnection;
import org.forkseam.direct.know.Quarantine;
import org.forkseam.direct.log.Event;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;

/**
 * Detects target crashes and reports the requests that were running to the quarantine. Used on the
 * event loop.
 *
 * <p>When a target closes a connection during a request, one new connection is opened to it. If the
 * connection is refused, or a health check has found that the target ended, it has crashed;
 * otherwise the new connection replaces the broken one. A target that starts again at once under
 * its port is only known by a health check, which is not sent for this alone.
 */
final class CrashDetector {
    /**
     * A connection lost later than this after the response head does not count as a crash caused by
     * the request.
     */
    static final long MAX_CRASH_DELAY_MILLIS = 1_000;

    private final TargetConnections mTargetConnections;
    private final Quarantine mQuarantine;
    private final Predicate<TargetIncarnation> mEnded;
    private final Map<TargetIncarnation, Probe> mProbes = new HashMap<>();
    private long mCrashCount;

    /**
     * Creates a detector.
     *
     * @param ended whether a target is known to have ended, also if its port is open
     */
    CrashDetector(
            TargetConnections targets, Quarantine quarantine, Predicate<TargetIncarnation> ended) {
        mEnded = ended;
        mTargetConnections = targets;
        mQuarantine = quarantine;
    }

    /** Returns the number of crashes detected since the start. */
    long crashCount() {
        return mCrashCount;
    }

    /**
     * Handles a connection lost during a request.
     *
     * @param request fingerprints of the request
     * @param respondingMillis time since the target's response head
     * @param callback runs after the probe if its result may quarantine the request, otherwise
     *     immediately
     */
    void onConnectionLost(
            Target t, RequestFingerprints request, long respondingMillis, Runnable callback) {
        if (respondingMillis > MAX_CRASH_DELAY_MILLIS) {
            callback.run();
            return;
        }
        boolean mayQuarantine = mQuarantine.isOneCrashFromQuarantine(request);
        Probe probe = probe(t);
        probe.mRequests.add(request);
        if (mayQuarantine) {
            probe.mCallbacks.add(callback);
        }
        probe.start();
        if (!mayQuarantine) {
            callback.run();
        }
    }

    /** Returns the pending probe of a target, or a new one. */
    private Probe probe(Target t) {
        return mProbes.computeIfAbsent(t.incarnation(), i -> new Probe(t));
    }

    /** A connection attempt that determines whether a target still listens. */
    private final class Probe implements ConnectionCallback {
        private final Target mTarget;
        private final int mCrashId;
        private final Set<RequestFingerprints> mRequests = new HashSet<>();
        private final List<Runnable> mCallbacks = new ArrayList<>();
        private boolean mStarted;

        Probe(Target t) {
            mTarget = t;
            mCrashId = t.shortHash();
        }

        /** Opens the connection unless that is under way. */
        void start() {
            if (!mStarted) {
                mStarted = true;
                mTargetConnections.pool(mTarget).openReplacement(this);
            }
        }

        @Override
        public void onConnection(HttpConnection c) {
            c.release();
            if (mEnded.test(mTarget.incarnation())) {
                onCrash();
            }
            finish();
        }

        @Override
        public void onConnectionFailed(ExchangeFailure failure, String detail) {
            if (failure == ExchangeFailure.NOBODY_LISTENS) {
                onCrash();
            }
            finish();
        }

        private void onCrash() {
            mCrashCount++;
            Event.of("target_ended")
                    .with("target", mTarget.entry().id())
                    .with("address", mTarget.entry().address())
                    .with("requests", mRequests.size())
                    .log();
            mRequests.forEach(r -> mQuarantine.onCrash(r, mCrashId));
        }

        private void finish() {
            mProbes.remove(mTarget.incarnation());
            mCallbacks.forEach(Runnable::run);
        }
    }
}
