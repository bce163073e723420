package org.forkseam.direct.flow;

import org.forkseam.core.member.Target;
import org.forkseam.core.member.TargetStart;
import org.forkseam.direct.io.BreakKind;
import org.forkseam.direct.io.ConnectionUser;
import org.forkseam.direct.io.HttpConnection;
import org.forkseam.direct.know.Quarantine;
import org.forkseam.direct.log.Event;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Finds out whether a target ended when it broke off requests, and tells which requests those were.
 * Used on the event loop.
 *
 * <p>A target that breaks off one answer lives, and takes a new connection; where nobody listens
 * any more, it has ended. One connection is opened for all that a target broke off at a time: some
 * 1 ms of a target's time, and a living one gets it instead of the broken one.
 */
final class CrashWatch {
    /**
     * A target that has been bringing an answer for so long has not ended by it: in the incident
     * targets ended 46 to 95 ms after they had begun. Unit: milliseconds.
     */
    private static final long HARMLESS_AFTER_MILLIS = 1_000;

    private final Targets mTargets;
    private final Quarantine mQuarantine;
    private final Map<TargetStart, Look> mLooks = new HashMap<>();
    private long mCrashes;

    CrashWatch(Targets targets, Quarantine quarantine) {
        mTargets = targets;
        mQuarantine = quarantine;
    }

    /** Returns the ends of targets seen since the start. */
    long crashes() {
        return mCrashes;
    }

    /**
     * Notes that a target has broken off a request.
     *
     * @param content hash of what the request asks for
     * @param answeringMillis for how long the target had been answering it
     * @param then is run once it is known whether the target has ended, if that may decide what
     *     becomes of the request; else at once
     */
    void onBroken(Target t, long content, long answeringMillis, Runnable then) {
        if (answeringMillis > HARMLESS_AFTER_MILLIS) {
            then.run();
            return;
        }
        Look look = mLooks.get(t.start());
        boolean isNew = look == null;
        if (isNew) {
            look = new Look(t);
            mLooks.put(t.start(), look);
        }
        look.mContents.add(content);
        boolean decides = mQuarantine.isOneCrashFromConviction(content);
        if (decides) {
            look.mThen.add(then);
        }
        if (isNew) {
            mTargets.pool(t).replace(look);
        }
        if (!decides) {
            then.run();
        }
    }

    /** Is a look at a target that has broken off requests. */
    private final class Look implements ConnectionUser {
        private final Target mTarget;
        private final int mCrash;
        private final Set<Long> mContents = new HashSet<>();
        private final List<Runnable> mThen = new ArrayList<>();

        Look(Target t) {
            mTarget = t;
            mCrash = t.shortHash();
        }

        @Override
        public void onConnection(HttpConnection c) {
            c.giveBack();
            finish();
        }

        @Override
        public void onNone(BreakKind kind, String detail) {
            if (kind == BreakKind.NOBODY_LISTENS) {
                onEnded();
            }
            finish();
        }

        private void onEnded() {
            mCrashes++;
            Event.of("target_ended")
                    .with("target", mTarget.entry().id())
                    .with("address", mTarget.entry().address())
                    .with("requests", mContents.size())
                    .log();
            mContents.forEach(c -> mQuarantine.onCrash(c, mCrash));
        }

        private void finish() {
            mLooks.remove(mTarget.start());
            mThen.forEach(Runnable::run);
        }
    }
}
