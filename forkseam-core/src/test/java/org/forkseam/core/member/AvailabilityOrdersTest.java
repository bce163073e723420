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
 * Tests that whether a target gets work from a router hangs on what that router was told, not on
 * the order in which rows, lapses, restarts, answers and other routers' news come.
 *
 * <p>A few targets, some routers with a directory each, and a random order of events. After each
 * event, each router's view of each target is compared with a plain record of what it was told: no
 * work for a start that has said that it leaves or asked for time, and work for all others.
 */
class AvailabilityOrdersTest {
    private static final int TARGETS = 4;
    private static final int EVENTS = 300;
    private static final long MAX_HOLD_MILLIS = 4_000;
    private static final long MAX_STEP_MILLIS = 700;

    @Property(tries = 200, seed = "38", shrinking = ShrinkingMode.OFF)
    void oneRouter(@ForAll long seed) {
        new World(1, seed).run();
    }

    @Property(tries = 40, seed = "38", shrinking = ShrinkingMode.OFF)
    void routersOfAGrownFleet(@ForAll long seed) {
        new World(23, seed).run();
    }

    @Property(tries = 4, seed = "38", shrinking = ShrinkingMode.OFF)
    void routersOfTheSizeAimedAt(@ForAll long seed) {
        new World(340, seed).run();
    }

    /** The check itself must find out a directory that forgets: else it proves nothing. */
    @Example
    void aRouterThatForgetsIsFoundOut() {
        World w = new World(1, 1);
        w.start(0);
        w.read(w.mRouters.get(0));
        Router r = w.mRouters.get(0);
        r.mLeaving.add(r.find(0).orElseThrow().start()); // told, and not taken in
        try {
            w.check(r);
        } catch (AssertionError e) {
            return;
        }
        throw new AssertionError("a word that was not taken in was not noticed");
    }

    /** Is the store's list and all routers. */
    private static final class World {
        private final Random mRandom;
        private final List<Router> mRouters = new ArrayList<>();
        private final Map<String, TargetEntry> mRows = new TreeMap<>();
        private final Map<String, TargetEntry> mLapsed = new HashMap<>();
        private final List<Integer> mNews = new ArrayList<>();
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
                case 1 -> lapse("t" + target);
                case 2 -> comeBack("t" + target);
                case 3, 4 -> read(r);
                case 5 -> r.find(target).ifPresent(t -> answerLeaving(r, t));
                case 6 -> r.find(target).ifPresent(t -> holdOff(r, t));
                case 7 -> r.lateAnswer(mRandom);
                case 8 -> news(r);
                default -> mNow += 1 + mRandom.nextLong(MAX_STEP_MILLIS);
            }
        }

        /** Starts a target, or starts it again; its time of day may have stepped back. */
        void start(int target) {
            mBorn += mRandom.nextLong(20_000) - 10_000;
            put(new TargetEntry("t" + target, "p", "10.0.0.1:1", "z", 8, false, 0, mBorn));
        }

        private void put(TargetEntry e) {
            mRevision++;
            mRows.put(e.id(), e);
            mLapsed.remove(e.id());
        }

        private void lapse(String id) {
            Optional.ofNullable(mRows.remove(id))
                    .ifPresent(
                            e -> {
                                mRevision++;
                                mLapsed.put(id, e);
                            });
        }

        /** The row is written anew by the same start, still as one that is there to be used. */
        private void comeBack(String id) {
            Optional.ofNullable(mLapsed.get(id)).ifPresent(this::put);
        }

        void read(Router r) {
            r.mDirectory.apply(StorePosition.of(0, mRevision), List.copyOf(mRows.values()), mNow);
            r.mListed = Map.copyOf(mRows);
            r.mListed.keySet().forEach(id -> r.mUnderWay.add(r.find(id).orElseThrow()));
        }

        private void answerLeaving(Router r, Target t) {
            t.onSaysLeaving();
            r.mLeaving.add(t.start());
            mNews.add(t.shortHash());
        }

        private void holdOff(Router r, Target t) {
            long millis = mRandom.nextLong(MAX_HOLD_MILLIS);
            t.onHoldOff(millis, mNow);
            r.mHoldOff.merge(t.start(), mNow + millis, Math::max);
        }

        /** News come in any order, some twice, some never. */
        private void news(Router r) {
            if (mNews.isEmpty()) {
                return;
            }
            int start = mNews.get(mRandom.nextInt(mNews.size()));
            r.mDirectory.onToldLeaving(start);
            r.mTold.add(start);
        }

        void check(Router r) {
            for (TargetEntry e : r.mListed.values()) {
                Target t = r.find(e.id()).orElseThrow();
                boolean leaves = r.mLeaving.contains(e.start()) || r.mTold.contains(t.shortHash());
                boolean holdsOff = mNow < r.mHoldOff.getOrDefault(e.start(), 0L);
                assertWithMessage("%s at %s", e, mNow)
                        .that(t.takesWork(mNow))
                        .isEqualTo(!leaves && !holdsOff);
            }
        }
    }

    /** Is a router, with a plain record of what it was told. */
    private static final class Router {
        private final TargetDirectory mDirectory = TargetDirectory.create();
        private final Set<TargetStart> mLeaving = new HashSet<>();
        private final Map<TargetStart, Long> mHoldOff = new HashMap<>();
        private final Set<Integer> mTold = new HashSet<>();
        private final Set<Target> mUnderWay = new LinkedHashSet<>();
        private Map<String, TargetEntry> mListed = Map.of();

        Optional<Target> find(int target) {
            return find("t" + target);
        }

        Optional<Target> find(String id) {
            return mDirectory.find(id);
        }

        /** An answer to a request sent at any time before, also to a start that is over. */
        void lateAnswer(Random random) {
            if (mUnderWay.isEmpty()) {
                return;
            }
            Target t = List.copyOf(mUnderWay).get(random.nextInt(mUnderWay.size()));
            t.onSaysLeaving();
            mLeaving.add(t.start());
        }
    }
}
