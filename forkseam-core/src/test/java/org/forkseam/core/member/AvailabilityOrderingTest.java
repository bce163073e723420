package org.forkseam.core.member;

import static com.google.common.truth.Truth.assertWithMessage;

import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;

import org.forkseam.core.store.StorePosition;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;

/**
 * Tests that a router's view of a target's availability does not depend on the order of rows,
 * expiries, restarts, responses and reports of other routers.
 *
 * <p>Applies random events to a few targets and routers, and compares each router's view with a
 * model after each event.
 */
class AvailabilityOrderingTest {
    private static final int TARGETS = 4;
    private static final int EVENTS = 300;
    private static final long MAX_HOLD_MILLIS = 4_000;
    private static final long MAX_STEP_MILLIS = 700;

    @Property(tries = 200, seed = "38", shrinking = ShrinkingMode.OFF)
    void oneRouter(@ForAll long seed) {
        new World(1, seed).run();
    }

    @Property(tries = 40, seed = "38", shrinking = ShrinkingMode.OFF)
    void twentyThreeRouters(@ForAll long seed) {
        new World(23, seed).run();
    }

    @Property(tries = 4, seed = "38", shrinking = ShrinkingMode.OFF)
    void threeHundredAndFortyRouters(@ForAll long seed) {
        new World(340, seed).run();
    }

    /** Verifies that the check detects a directory that ignores an announcement. */
    @Example
    void checkDetectsIgnoredLeavingAnnouncement() {
        World w = new World(1, 1);
        w.start(0);
        w.read(w.mRouters.get(0));
        Router r = w.mRouters.get(0);
        r.mLeaving.add(
                r.find(0)
                        .orElseThrow()
                        .incarnation()); // announced, but not applied to the directory
        try {
            w.check(r);
        } catch (AssertionError e) {
            return;
        }
        throw new AssertionError("ignored leaving announcement not detected");
    }

    /** Target list of the store, and all routers. */
    private static final class World {
        private final Random mRandom;
        private final List<Router> mRouters = new ArrayList<>();
        private final Map<String, TargetEntry> mRows = new TreeMap<>();
        private final Map<String, TargetEntry> mExpired = new HashMap<>();
        private final List<Integer> mReports = new ArrayList<>();
        private long mRevision = 1;
        private long mBorn = 1_000_000;
        private long mNow = 1_000;

        World(int routers, long seed) {
            mRandom = new Random(seed);
            for (int i = 0; i < routers; i++) {
                mRouters.add(new Router());
            }
        }

        void run() {
            for (int i = 0; i < TARGETS; i++) {
                start(i);
            }
            mRouters.forEach(this::read);
            for (int i = 0; i < EVENTS; i++) {
                Router r = mRouters.get(mRandom.nextInt(mRouters.size()));
                event(r, mRandom.nextInt(TARGETS));
                check(r);
            }
            mRouters.forEach(this::check);
        }

        private void event(Router r, int target) {
            switch (mRandom.nextInt(10)) {
                case 0 -> start(target);
                case 1 -> expire("t" + target);
                case 2 -> reregister("t" + target);
                case 3, 4 -> read(r);
                case 5 -> r.find(target).ifPresent(t -> respondLeaving(r, t));
                case 6 -> r.find(target).ifPresent(t -> holdOff(r, t));
                case 7 -> r.lateResponse(mRandom);
                case 8 -> deliverReport(r);
                default -> mNow += 1 + mRandom.nextLong(MAX_STEP_MILLIS);
            }
        }

        /** Starts or restarts a target; its clock may have stepped back. */
        void start(int target) {
            mBorn += mRandom.nextLong(20_000) - 10_000;
            put(new TargetEntry("t" + target, "p", "10.0.0.1:1", "z", 8, false, 0, mBorn));
        }

        private void put(TargetEntry e) {
            mRevision++;
            mRows.put(e.id(), e);
            mExpired.remove(e.id());
        }

        private void expire(String id) {
            Optional.ofNullable(mRows.remove(id))
                    .ifPresent(
                            e -> {
                                mRevision++;
                                mExpired.put(id, e);
                            });
        }

        /** Registers the row of the same incarnation again, not marked as leaving. */
        private void reregister(String id) {
            Optional.ofNullable(mExpired.get(id)).ifPresent(this::put);
        }

        void read(Router r) {
            r.mDirectory.apply(StorePosition.of(0, mRevision), List.copyOf(mRows.values()), mNow);
            r.mListed = Map.copyOf(mRows);
            r.mListed.keySet().forEach(id -> r.mContacted.add(r.find(id).orElseThrow()));
        }

        private void respondLeaving(Router r, Target t) {
            t.onLeavingAnnounced();
            r.mLeaving.add(t.incarnation());
            mReports.add(t.shortHash());
        }

        private void holdOff(Router r, Target t) {
            long millis = mRandom.nextLong(MAX_HOLD_MILLIS);
            t.onHoldOff(millis, mNow);
            r.mHoldOff.merge(t.incarnation(), mNow + millis, Math::max);
        }

        /** Delivers a random report; reports may be reordered, duplicated or lost. */
        private void deliverReport(Router r) {
            if (mReports.isEmpty()) {
                return;
            }
            int start = mReports.get(mRandom.nextInt(mReports.size()));
            r.mDirectory.onLeavingReported(start);
            r.mReportedLeaving.add(start);
        }

        void check(Router r) {
            for (TargetEntry e : r.mListed.values()) {
                Target t = r.find(e.id()).orElseThrow();
                boolean leaving =
                        r.mLeaving.contains(e.incarnation())
                                || r.mReportedLeaving.contains(t.shortHash());
                boolean holdingOff = mNow < r.mHoldOff.getOrDefault(e.incarnation(), 0L);
                assertWithMessage("%s at %s ms", e, mNow)
                        .that(t.acceptsRequests(mNow))
                        .isEqualTo(!leaving && !holdingOff);
            }
        }
    }

    /** Router with a model of the information that it received. */
    private static final class Router {
        private final TargetDirectory mDirectory = TargetDirectory.create();
        private final Set<TargetIncarnation> mLeaving = new HashSet<>();
        private final Map<TargetIncarnation, Long> mHoldOff = new HashMap<>();
        private final Set<Integer> mReportedLeaving = new HashSet<>();
        private final Set<Target> mContacted = new LinkedHashSet<>();
        private Map<String, TargetEntry> mListed = Map.of();

        Optional<Target> find(int target) {
            return find("t" + target);
        }

        Optional<Target> find(String id) {
            return mDirectory.find(id);
        }

        /** Delivers a response to any earlier request, including one to an ended incarnation. */
        void lateResponse(Random random) {
            if (mContacted.isEmpty()) {
                return;
            }
            Target t = List.copyOf(mContacted).get(random.nextInt(mContacted.size()));
            t.onLeavingAnnounced();
            mLeaving.add(t.incarnation());
        }
    }
}
