package org.forkseam.core.member;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;

import org.forkseam.core.store.StorePosition;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;

/**
 * Tests that no router reverts an evacuation or its end, whatever the order of reads, peer
 * messages, backups and restores of the store, provided that operators rewrite their evacuations in
 * time.
 */
class EvacuationOrderingTest {
    private static final int DOMAINS = 4;
    private static final int STEPS = 400;
    private static final long STEP_MILLIS = 50;

    /** Interval at which each router reads the store. */
    private static final long READ_MILLIS = 100;

    /** Time after a restore until operators have rewritten their evacuations. */
    private static final long REWRITE_MILLIS = 1_900;

    /** Time until a change is known to all routers. */
    private static final long APPLY_MILLIS = 2_500;

    @Property(tries = 100, seed = "43", shrinking = ShrinkingMode.OFF)
    void oneRouter(@ForAll long seed) {
        new World(1, seed).run();
    }

    @Property(tries = 20, seed = "43", shrinking = ShrinkingMode.OFF)
    void twentyThreeRouters(@ForAll long seed) {
        new World(23, seed).run();
    }

    @Property(tries = 3, seed = "43", shrinking = ShrinkingMode.OFF)
    void threeHundredAndFortyRouters(@ForAll long seed) {
        new World(340, seed).run();
    }

    /** Verifies that the check detects a router that misses an evacuation. */
    @Example
    void checkDetectsMissingEvacuation() {
        World w = new World(1, 1);
        w.request("d0", true);
        w.mNow += APPLY_MILLIS;
        try {
            w.check(w.mRouters.get(0)); // it was never told
        } catch (AssertionError e) {
            return;
        }
        throw new AssertionError("missing evacuation not detected");
    }

    /** Evacuated domains as of a position. */
    private record Snapshot(StorePosition position, Set<String> domains) {}

    /** Store, operators and routers. */
    private static final class World {
        private final Random mRandom;
        private final List<Evacuations> mRouters = new ArrayList<>();
        private final List<Snapshot> mMessages = new ArrayList<>();
        private final long[] mRequestedAt = new long[DOMAINS];
        private final Set<String> mRequested = new TreeSet<>();

        /** Domains whose last change was lost in a restore before any router read it. */
        private final Set<Integer> mLostChanges = new TreeSet<>();

        /** Domains whose change was not written because the restored rows already matched. */
        private final Set<Integer> mUnrecordedChanges = new TreeSet<>();

        private Set<String> mRows = new TreeSet<>();
        private Snapshot mBackup = new Snapshot(StorePosition.of(1, 1), Set.of());
        private StorePosition mPosition = mBackup.position();
        private long mRestoredAt = Long.MIN_VALUE / 2;
        private long mNow = 1_000;

        World(int routers, long seed) {
            mMessages.add(mBackup);
            mRandom = new Random(seed);
            for (int i = 0; i < routers; i++) {
                mRouters.add(Evacuations.create());
            }
        }

        void run() {
            for (int i = 0; i < STEPS; i++) {
                event();
                mNow += STEP_MILLIS;
                if (mNow - mRestoredAt > APPLY_MILLIS) {
                    mUnrecordedChanges
                            .clear(); // evacuations from before the restore are no longer retained
                }
                rewrite();
                for (Evacuations e : mRouters) {
                    deliver(e);
                    check(e);
                }
            }
            assertThat(mPosition.era()).isAtLeast(1);
        }

        private void event() {
            switch (mRandom.nextInt(40)) {
                case 0 -> request("d" + mRandom.nextInt(DOMAINS), mRandom.nextBoolean());
                case 1 -> mBackup = new Snapshot(mPosition, new TreeSet<>(mRows));
                case 2 -> restore();
                default -> {}
            }
        }

        /** Starts or ends an evacuation on behalf of operators. */
        void request(String domain, boolean evacuated) {
            boolean changes = evacuated ? mRequested.add(domain) : mRequested.remove(domain);
            int index = domain.charAt(1) - '0';
            if (changes && mRows.contains(domain) == evacuated) {
                mUnrecordedChanges.add(index);
            }
            if (changes) {
                mRequestedAt[index] = mNow;
                write(mRequested);
            }
        }

        private void write(Set<String> rows) {
            mLostChanges.forEach(i -> mRequestedAt[i] = mNow);
            mLostChanges.clear();
            mRows = new TreeSet<>(rows);
            mPosition = StorePosition.of(mPosition.era(), mPosition.revision() + 1);
        }

        private void restore() {
            mRows = new TreeSet<>(mBackup.domains());
            mPosition = StorePosition.of(mPosition.era() + 1, mBackup.position().revision());
            mRestoredAt = mNow;
            for (int i = 0; i < DOMAINS; i++) {
                if (mNow - mRequestedAt[i] <= READ_MILLIS) {
                    mLostChanges.add(i);
                }
            }
        }

        private void rewrite() {
            boolean due = mNow - mRestoredAt >= REWRITE_MILLIS;
            if (!mRows.equals(mRequested) && (due || mRandom.nextInt(20) == 0)) {
                write(mRequested);
            }
        }

        /** Lets a router read the store, or receive an arbitrary earlier snapshot. */
        private void deliver(Evacuations e) {
            if (mNow % READ_MILLIS == 0) {
                mMessages.add(new Snapshot(mPosition, new TreeSet<>(mRows)));
                e.replace(mPosition, mRows, mNow);
            } else {
                Snapshot snapshot = mMessages.get(mRandom.nextInt(mMessages.size()));
                e.replace(snapshot.position(), snapshot.domains(), mNow);
            }
            e.reconcile(mNow);
        }

        /**
         * Checks that changes older than the propagation time are in effect, whatever the store
         * contains.
         */
        void check(Evacuations e) {
            for (int i = 0; i < DOMAINS; i++) {
                boolean undecided = mLostChanges.contains(i) || mUnrecordedChanges.contains(i);
                if (undecided || mNow - mRequestedAt[i] < APPLY_MILLIS) {
                    continue;
                }
                String d = "d" + i;
                assertWithMessage("%s at %s ms, store position %s", d, mNow, mPosition)
                        .that(e.domains().contains(d))
                        .isEqualTo(mRequested.contains(d));
            }
        }
    }
}
