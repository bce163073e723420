package org.forkseam.direct.flow;

import org.forkseam.core.member.Target;
import org.forkseam.direct.io.BreakKind;
import org.forkseam.direct.io.ConnectionUser;
import org.forkseam.direct.io.HttpConnection;
import org.forkseam.direct.know.Quarantine;
import org.forkseam.direct.log.Event;

import java.util.HashMap;
import java.util.HashSet;
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
    private final Map<String, Set<Long>> mBroken = new HashMap<>();
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
     */
    void onBroken(Target t, long content, long answeringMillis) {
        if (answeringMillis > HARMLESS_AFTER_MILLIS) {
            return;
        }
        Set<Long> contents = mBroken.get(t.entry().id());
        if (contents != null) {
            contents.add(content); // it is being looked at
            return;
        }
        contents = new HashSet<>();
        contents.add(content);
        mBroken.put(t.entry().id(), contents);
        look(t, t.startHash());
    }

    private void look(Target t, int crash) {
        mTargets.pool(t)
                .open(
                        new ConnectionUser() {
                            @Override
                            public void onConnection(HttpConnection c) {
                                mBroken.remove(t.entry().id());
                                c.giveBack();
                            }

                            @Override
                            public void onNone(BreakKind kind, String detail) {
                                Set<Long> contents = mBroken.remove(t.entry().id());
                                if (kind == BreakKind.NOBODY_LISTENS) {
                                    onEnded(t, crash, contents);
                                }
                            }
                        });
    }

    private void onEnded(Target t, int crash, Set<Long> contents) {
        mCrashes++;
        Event.of("target_ended")
                .with("target", t.entry().id())
                .with("address", t.entry().address())
                .with("requests", contents.size())
                .log();
        contents.forEach(c -> mQuarantine.onCrash(c, crash));
    }
}
