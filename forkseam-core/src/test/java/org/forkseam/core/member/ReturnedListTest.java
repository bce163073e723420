package org.forkseam.core.member;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;

import org.forkseam.core.store.StorePosition;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;

/**
 * Tests what a router makes of the list of targets when the store has come back from an older copy:
 * rows of before are there again, later ones are missing, and revisions are given out twice.
 */
class ReturnedListTest {
    /** Rows that the copy lacks are written again within so long of the return. */
    private static final long WRITTEN_AGAIN_MILLIS = 2_000;

    /** Until when a copy's row of a target that has gone may still stand there. */
    private static final long COPIED_MILLIS = 4_000;

    private static final int TARGETS = 4;
    private static final int EVENTS = 200;

    private final TargetDirectory mDirectory = TargetDirectory.create();

    private static TargetEntry entry(String id, boolean leaving, long born) {
        return new TargetEntry(id, "p", "10.0.0.1:1", "z", 8, leaving, 0, born);
    }

    private static TargetEntry ready(String id) {
        return entry(id, false, 1);
    }

    private void read(int era, long revision, long now, TargetEntry... entries) {
        mDirectory.apply(StorePosition.of(era, revision), List.of(entries), now);
    }

    private boolean takesWork(String id, long now) {
        return mDirectory.find(id).map(t -> t.takesWork(now)).orElse(false);
    }

    // ---------------------------------------------------------------- fixed cases

    @Example
    void aListOfALaterEraIsTakenWhateverItsRevision() {
        for (long revision : new long[] {1, 50, 60}) {
            TargetDirectory d = TargetDirectory.create();
            d.apply(StorePosition.of(1, 50), List.of(ready("a")), 0);
            d.apply(StorePosition.of(2, revision), List.of(entry("a", true, 1)), 10);
            assertThat(d.find("a").orElseThrow().takesWork(10)).isFalse();
        }
    }

    @Example
    void aListOfAnEarlierEraChangesNothing() {
        read(2, 5, 0, ready("a"));
        read(1, 50, 10, ready("a"), ready("b"));
        assertThat(mDirectory.find("b").isPresent()).isFalse();
    }

    /** The first list tells of no return: nothing is kept or passed over for it. */
    @Example
    void theFirstListIsNoReturn() {
        read(7, 1, 0, ready("a"));
        read(7, 2, 10);
        assertThat(mDirectory.find("a").isPresent()).isFalse();
    }

    @Example
    void aStartThatWasLeavingIsNotUsedAgainByAnOlderRow() {
        read(1, 5, 0, ready("a"));
        read(1, 6, 10, entry("a", true, 1));
        read(2, 3, 20, ready("a"));
        read(2, 9, 60_000, ready("a"));
        assertThat(takesWork("a", 60_000)).isFalse();
    }

    @Example
    void aStartThatHadGoneIsNotUsedAgainByAnOlderRow() {
        read(1, 5, 0, ready("a"));
        read(1, 6, 10);
        read(2, 3, 20, ready("a"));
        read(2, 4, 20 + COPIED_MILLIS, ready("a"));
        assertThat(takesWork("a", 20 + COPIED_MILLIS)).isFalse();
        assertThat(mDirectory.passesOver()).isTrue();
        read(2, 4, mDirectory.passOverUntil(), ready("a")); // it lives, and its row had lapsed
        assertThat(takesWork("a", mDirectory.passOverUntil())).isTrue();
    }

    /** In one era a row that is back says that its target lives, as before. */
    @Example
    void aRowThatComesBackInItsEraIsUsedAtOnce() {
        read(1, 5, 0, ready("a"));
        read(2, 3, 10, ready("a"));
        read(2, 4, 3_000);
        read(2, 5, 3_010, ready("a"));
        assertThat(takesWork("a", 3_010)).isTrue();
    }

    @Example
    void anEarlierStartDoesNotTakeThePlaceOfALaterOne() {
        read(1, 5, 0, entry("a", false, 1));
        read(1, 6, 10, entry("a", false, 2));
        read(2, 3, 20, entry("a", false, 1));
        assertThat(mDirectory.find("a").orElseThrow().start().born()).isEqualTo(2);
        assertThat(takesWork("a", 20)).isTrue();
    }

    @Example
    void aNewStartIsUsedAtOnce() {
        read(1, 5, 0, ready("a"));
        read(1, 6, 10);
        read(2, 3, 20, entry("a", false, 2));
        assertThat(takesWork("a", 20)).isTrue();
    }

    @Example
    void aTargetThatTheCopyLacksIsKeptUntilItsRowIsDue() {
        read(1, 5, 0, ready("a"), ready("b"));
        read(2, 3, 10, ready("a"));
        read(2, 4, 10 + WRITTEN_AGAIN_MILLIS, ready("a"));
        assertThat(takesWork("b", 10 + WRITTEN_AGAIN_MILLIS)).isTrue();
        assertThat(mDirectory.keepsMissing()).isTrue();
        read(2, 4, mDirectory.keepMissingUntil(), ready("a"));
        assertThat(mDirectory.find("b").isPresent()).isFalse();
    }

    // ---------------------------------------------------------------- orders

    @Property(tries = 200, seed = "41", shrinking = ShrinkingMode.OFF)
    void oneRouter(@ForAll long seed) {
        new World(1, seed).run();
    }

    @Property(tries = 40, seed = "41", shrinking = ShrinkingMode.OFF)
    void routersOfAGrownFleet(@ForAll long seed) {
        new World(23, seed).run();
    }

    @Property(tries = 4, seed = "41", shrinking = ShrinkingMode.OFF)
    void routersOfTheSizeAimedAt(@ForAll long seed) {
        new World(340, seed).run();
    }

    /** The check itself must find out a directory that goes back. */
    @Example
    void aRouterThatGoesBackIsFoundOut() {
        World w = new World(1, 1);
        Router r = w.mRouters.get(0);
        w.start(0);
        w.read(r);
        r.mOver.add(r.mDirectory.find("t0").orElseThrow().start()); // and it is used on
        try {
            w.check(r);
        } catch (AssertionError e) {
            return;
        }
        throw new AssertionError("work for a start that is over was not noticed");
    }

    /** Is the store, its copies, and routers that read it at moments of their own. */
    private static final class World {
        private final Random mRandom;
        private final List<Router> mRouters = new ArrayList<>();
        private final List<Answer> mLate = new ArrayList<>();
        private Map<String, TargetEntry> mRows = new TreeMap<>();
        private Map<String, TargetEntry> mCopy = new TreeMap<>();
        private final Map<String, TargetEntry> mAlive = new TreeMap<>();
        private StorePosition mPosition = StorePosition.of(1, 1);
        private StorePosition mCopied = mPosition;
        private long mReturnedAt = Long.MIN_VALUE / 2;
        private long mBorn = 1_000_000;
        private long mNow = 1_000;

        /** Is an answer of the store that may arrive late. */
        private record Answer(StorePosition position, List<TargetEntry> rows) {}

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
            for (int i = 0; i < EVENTS; i++) {
                event(mRandom.nextInt(TARGETS));
                Router r = mRouters.get(mRandom.nextInt(mRouters.size()));
                read(r);
                lateAnswer(r);
                check(r);
            }
        }

        private void event(int target) {
            String id = "t" + target;
            switch (mRandom.nextInt(8)) {
                case 0 -> start(target);
                case 1 -> leave(id);
                case 2 -> end(id);
                case 3 -> {
                    mCopy = new TreeMap<>(mRows);
                    mCopied = mPosition;
                }
                case 4 -> comeBack();
                default -> pass(1 + mRandom.nextLong(900));
            }
        }

        /** Starts a target anew; its time of day may have stepped back, and no start is like it. */
        void start(int target) {
            mBorn += 1 + mRandom.nextLong(1_000);
            put(entry("t" + target, false, mRandom.nextBoolean() ? mBorn : -mBorn));
        }

        private void put(TargetEntry e) {
            mPosition = StorePosition.of(mPosition.era(), mPosition.revision() + 1);
            mAlive.put(e.id(), e);
            mRows.put(e.id(), e);
        }

        private void leave(String id) {
            Optional.ofNullable(mAlive.get(id)).ifPresent(e -> put(e.withLeaving()));
        }

        private void end(String id) {
            mAlive.remove(id);
            mRows.remove(id);
            mPosition = StorePosition.of(mPosition.era(), mPosition.revision() + 1);
        }

        private void comeBack() {
            mRows = new TreeMap<>(mCopy);
            mPosition = StorePosition.of(mPosition.era() + 1, mCopied.revision());
            mReturnedAt = mNow;
        }

        /** What lives is written again, what does not lapses. */
        private void pass(long millis) {
            mNow += millis;
            if (mNow - mReturnedAt >= WRITTEN_AGAIN_MILLIS - 500) {
                mAlive.values().stream()
                        .filter(e -> !e.equals(mRows.get(e.id())))
                        .toList()
                        .forEach(this::put);
            }
            if (mNow - mReturnedAt >= COPIED_MILLIS) {
                mRows.keySet().retainAll(mAlive.keySet());
            }
        }

        void read(Router r) {
            Answer a = new Answer(mPosition, List.copyOf(mRows.values()));
            r.take(a.position(), a.rows(), mNow);
            mLate.add(a);
        }

        /** Answers of before, also of an earlier era, may arrive after newer ones. */
        private void lateAnswer(Router r) {
            Answer late = mLate.get(mRandom.nextInt(mLate.size()));
            if (late.position().isBefore(r.mDirectory.position())) {
                r.take(late.position(), late.rows(), mNow);
            }
        }

        void check(Router r) {
            for (Target t : r.mDirectory.all()) {
                assertWithMessage("%s at %s of %s", t.entry(), mNow, mPosition)
                        .that(t.takesWork(mNow) && r.mOver.contains(t.start()))
                        .isFalse();
            }
            for (TargetEntry e : mRows.values()) {
                boolean isNew = e.equals(mAlive.get(e.id())) && !e.leaving();
                boolean knownGone = r.mOver.contains(e.start());
                if (isNew && !knownGone) {
                    assertWithMessage("%s at %s of %s", e, mNow, mPosition)
                            .that(r.mDirectory.find(e.id()).orElseThrow().takesWork(mNow))
                            .isTrue();
                }
            }
        }
    }

    /** Is a router, with a plain record of the starts that it was told are leaving or over. */
    private static final class Router {
        private final TargetDirectory mDirectory = TargetDirectory.create();
        private final Set<TargetStart> mOver = new HashSet<>();

        void take(StorePosition position, List<TargetEntry> rows, long now) {
            boolean isNews = !position.isBefore(mDirectory.position());
            for (TargetChange c : mDirectory.apply(position, rows, now)) {
                note(c);
            }
            if (isNews) {
                rows.stream().filter(TargetEntry::leaving).forEach(e -> mOver.add(e.start()));
            }
        }

        private void note(TargetChange c) {
            if (c.kind() == TargetChange.Kind.GONE) {
                mOver.add(c.entry().start());
            }
        }
    }
}
