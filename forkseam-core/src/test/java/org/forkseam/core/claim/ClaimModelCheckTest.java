package org.forkseam.core.claim;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import org.forkseam.core.claim.ClaimProtocol.AttemptState;
import org.forkseam.core.claim.ClaimProtocol.Step;
import org.junit.jupiter.api.Test;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Model check of {@link ClaimProtocol}: explores all interleavings of three attempts on two
 * sidecars with one row, including lost responses, delayed writes and crashes.
 */
class ClaimModelCheckTest {
    private static final int MAX_DEPTH = 60;

    /** Sidecar of each attempt. */
    private static final List<String> ATTEMPTS = List.of("A", "B", "A");

    /** How a sidecar tracks its own attempts; the incorrect variant must be detected. */
    private enum AttemptTracking {
        CORRECT,
        ACTIVE_REPORTED_AS_ABANDONED
    }

    @Test
    void requestRunsAtMostOnce() {
        Explorer e = new Explorer(AttemptTracking.CORRECT);
        e.explore();
        System.out.println(
                "claim model: "
                        + e.mVisited.size()
                        + " states, "
                        + e.mRan
                        + " with a run, depth "
                        + e.mMaxDepth);
        assertThat(e.mRan).isGreaterThan(0);
        assertThat(e.mVisited.size()).isGreaterThan(10_000);
        assertWithMessage("actions leading to a second run").that(e.mDoubleRun).isEmpty();
    }

    @Test
    void checkDetectsTakeoverOfActiveClaim() {
        Explorer e = new Explorer(AttemptTracking.ACTIVE_REPORTED_AS_ABANDONED);
        e.explore();
        assertThat(e.mDoubleRun).isNotEmpty();
    }

    /** Visits every reachable state. */
    private static final class Explorer {
        private final AttemptTracking mTracking;
        private final Set<String> mVisited = new HashSet<>();
        private List<String> mDoubleRun = List.of();
        private int mRan;
        private int mMaxDepth;

        Explorer(AttemptTracking tracking) {
            mTracking = tracking;
        }

        void explore() {
            visit(new ArrayList<>());
        }

        private void visit(List<String> path) {
            World w = World.after(path, mTracking);
            if (w.mRuns > 1 && mDoubleRun.isEmpty()) {
                mDoubleRun = List.copyOf(path);
            }
            if (!mVisited.add(w.fingerprint())) {
                return;
            }
            mRan += w.mRuns > 0 ? 1 : 0;
            assertWithMessage("exploration depth").that(path.size()).isLessThan(MAX_DEPTH);
            mMaxDepth = Math.max(mMaxDepth, path.size());
            for (String action : w.actions()) {
                path.add(action);
                visit(path);
                path.remove(path.size() - 1);
            }
        }
    }

    /** Write in transit to the store. */
    private record Pending(ClaimRow row, long expected) {}

    /** Attempt at a sidecar. */
    private static final class Attempt {
        ClaimProtocol mProtocol;
        Step mStep;
        long mRevision;
        String mPhase = "new";
        String mNonce = "";
        int mIncarnation;
    }

    /** State after a sequence of actions. */
    private static final class World {
        private final AttemptTracking mTracking;
        private final Attempt[] mAttempts = new Attempt[ATTEMPTS.size()];
        private final Map<String, Integer> mIncarnations = new HashMap<>(Map.of("A", 0, "B", 0));
        private final Map<String, AttemptState> mAttemptStates = new HashMap<>();
        private final List<Pending> mDelayed = new ArrayList<>();
        private ClaimRow mRow;
        private long mRevision;
        private int mRuns;

        private World(AttemptTracking tracking) {
            mTracking = tracking;
            for (int i = 0; i < mAttempts.length; i++) {
                mAttempts[i] = new Attempt();
            }
        }

        static World after(List<String> path, AttemptTracking tracking) {
            World w = new World(tracking);
            path.forEach(w::perform);
            return w;
        }

        List<String> actions() {
            List<String> out = new ArrayList<>();
            for (int i = 0; i < mAttempts.length; i++) {
                Attempt a = mAttempts[i];
                switch (a.mPhase) {
                    case "new" -> out.add("start " + i);
                    case "write" -> {
                        out.add("answered " + i);
                        out.add("answer-lost " + i);
                        out.add("request-lost " + i);
                        out.add("late " + i);
                    }
                    case "read" -> {
                        out.add("read " + i);
                        out.add("read-failed " + i);
                    }
                    case "claimed" -> {
                        out.add("run " + i);
                        out.add("abandon " + i);
                        out.add("abandon-lost " + i);
                    }
                    case "ran" -> {
                        out.add("done " + i);
                        out.add("done-lost " + i);
                    }
                    default -> {
                        // Finished.
                    }
                }
            }
            for (int i = 0; i < mDelayed.size(); i++) {
                out.add("arrives " + i);
            }
            for (String s : List.of("A", "B")) {
                if (mIncarnations.get(s) == 0) {
                    out.add("crash " + s);
                }
            }
            return out;
        }

        private void perform(String action) {
            String[] w = action.split(" ");
            if (w[0].equals("crash")) {
                crash(w[1]);
                return;
            }
            int i = Integer.parseInt(w[1]);
            if (w[0].equals("arrives")) {
                apply(mDelayed.remove(i));
                return;
            }
            Attempt a = mAttempts[i];
            switch (w[0]) {
                case "start" -> start(i, a);
                case "answered" -> answered(a, apply(pending(a)));
                case "answer-lost" -> {
                    apply(pending(a));
                    next(a, a.mProtocol.onUnknown());
                }
                case "request-lost" -> next(a, a.mProtocol.onUnknown());
                case "late" -> {
                    mDelayed.add(pending(a));
                    next(a, a.mProtocol.onUnknown());
                }
                case "read" -> {
                    a.mRevision = mRevision;
                    next(a, a.mProtocol.onRead(Optional.ofNullable(mRow)));
                }
                case "read-failed" -> next(a, a.mProtocol.onReadFailed());
                case "run" -> {
                    mRuns++;
                    a.mPhase = "ran";
                }
                case "abandon", "abandon-lost" -> abandon(a, w[0].equals("abandon"));
                case "done", "done-lost" -> done(a, w[0].equals("done"));
                default -> throw new IllegalStateException(action);
            }
        }

        private void start(int i, Attempt a) {
            String s = ATTEMPTS.get(i);
            a.mIncarnation = mIncarnations.get(s);
            a.mNonce = "n" + i;
            mAttemptStates.put(a.mNonce, AttemptState.ACTIVE);
            ClaimRow row =
                    new ClaimRow(
                            ClaimRow.State.CLAIMED, s, a.mIncarnation, a.mNonce, "same", "", 0);
            a.mProtocol = ClaimProtocol.of(row, this::attemptState);
            next(a, a.mProtocol.start());
        }

        private AttemptState attemptState(String nonce) {
            AttemptState s = mAttemptStates.getOrDefault(nonce, AttemptState.UNKNOWN);
            boolean wrong = mTracking == AttemptTracking.ACTIVE_REPORTED_AS_ABANDONED;
            return s == AttemptState.ACTIVE && wrong ? AttemptState.ABANDONED : s;
        }

        private Pending pending(Attempt a) {
            return new Pending(a.mProtocol.row(), a.mStep == Step.INSERT ? 0 : a.mRevision);
        }

        private boolean apply(Pending p) {
            if ((mRow == null ? 0 : mRevision) != p.expected()) {
                return false;
            }
            mRow = p.row();
            mRevision++;
            return true;
        }

        private void answered(Attempt a, boolean applied) {
            a.mRevision = mRevision;
            next(
                    a,
                    applied
                            ? a.mProtocol.onApplied()
                            : a.mProtocol.onConflict(Optional.ofNullable(mRow)));
        }

        private void next(Attempt a, Step step) {
            a.mStep = step;
            a.mPhase =
                    switch (step) {
                        case INSERT, REPLACE -> "write";
                        case READ -> "read";
                        case RUN -> "claimed";
                        default -> "over";
                    };
            if (a.mPhase.equals("over")) {
                mAttemptStates.put(a.mNonce, AttemptState.ABANDONED);
            }
        }

        private void abandon(Attempt a, boolean arrives) {
            mAttemptStates.put(a.mNonce, AttemptState.ABANDONED);
            if (arrives) {
                ClaimRow r = a.mProtocol.row().withState(ClaimRow.State.ABANDONED, "");
                apply(new Pending(r, a.mRevision));
            }
            a.mPhase = "over";
        }

        private void done(Attempt a, boolean arrives) {
            if (arrives) {
                ClaimRow r = a.mProtocol.row().withState(ClaimRow.State.DONE, "answer");
                apply(new Pending(r, a.mRevision));
            }
            a.mPhase = "over";
        }

        private void crash(String s) {
            mIncarnations.merge(s, 1, Integer::sum);
            for (int i = 0; i < mAttempts.length; i++) {
                if (ATTEMPTS.get(i).equals(s) && !mAttempts[i].mPhase.equals("new")) {
                    mAttempts[i].mPhase = "over";
                    mAttemptStates.remove(mAttempts[i].mNonce);
                }
            }
        }

        String fingerprint() {
            StringBuilder sb = new StringBuilder();
            sb.append(mRow).append(mRevision).append(mRuns).append(mIncarnations).append(mDelayed);
            for (Attempt a : mAttempts) {
                sb.append('|').append(a.mPhase).append(a.mStep).append(a.mRevision);
                sb.append(a.mProtocol == null ? "" : a.mProtocol.observed().toString());
                sb.append(mAttemptStates.get(a.mNonce));
            }
            return sb.toString();
        }
    }
}
