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
 * Tests the target list after the store was restored from a backup: ended rows reappear, newer rows
 * are missing, and revisions are reused.
 */
class TargetDirectoryRestoreTest {
    /** Time after a restore within which missing rows are rewritten. */
    private static final long REWRITE_MILLIS = 2_000;

    /** Time after a restore for which rows of ended targets may remain. */
    private static final long STALE_ROW_MILLIS = 4_000;

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

    private boolean acceptsRequests(String id, long now) {
        return mDirectory.find(id).map(t -> t.acceptsRequests(now)).orElse(false);
    }

    // ---------------------------------------------------------------- examples

    @Example
    void laterEraIsAppliedAtAnyRevision() {
        for (long revision : new long[] {1, 50, 60}) {
            TargetDirectory d = TargetDirectory.create();
            d.apply(StorePosition.of(1, 50), List.of(ready("a")), 0);
            d.apply(StorePosition.of(2, revision), List.of(entry("a", true, 1)), 10);
            assertThat(d.find("a").orElseThrow().acceptsRequests(10)).isFalse();
        }
    }

    @Example
    void earlierEraIsIgnored() {
        read(2, 5, 0, ready("a"));
        read(1, 50, 10, ready("a"), ready("b"));
        assertThat(mDirectory.find("b").isPresent()).isFalse();
    }

    /** The first list read does not indicate a restore. */
    @Example
    void firstListIsNoRestore() {
        read(7, 1, 0, ready("a"));
        read(7, 2, 10);
        assertThat(mDirectory.find("a").isPresent()).isFalse();
    }

    @Example
    void leavingIncarnationIsNotRevivedByStaleRow() {
        read(1, 5, 0, ready("a"));
        read(1, 6, 10, entry("a", true, 1));
        read(2, 3, 20, ready("a"));
        read(2, 9, 60_000, ready("a"));
        assertThat(acceptsRequests("a", 60_000)).isFalse();
    }

    @Example
    void endedIncarnationIsNotRevivedByStaleRow() {
        read(1, 5, 0, ready("a"));
        read(1, 6, 10);
        read(2, 3, 20, ready("a"));
        read(2, 4, 20 + STALE_ROW_MILLIS, ready("a"));
        assertThat(acceptsRequests("a", 20 + STALE_ROW_MILLIS)).isFalse();
        assertThat(mDirectory.ignoresStaleRows()).isTrue();
        read(
                2,
                4,
                mDirectory.ignoreStaleRowsUntil(),
                ready("a")); // alive; its row had only expired
        assertThat(acceptsRequests("a", mDirectory.ignoreStaleRowsUntil())).isTrue();
    }

    /** Within an era, a rewritten row means that the target is alive. */
    @Example
    void rowRewrittenWithinItsEraIsUsedImmediately() {
        read(1, 5, 0, ready("a"));
        read(2, 3, 10, ready("a"));
        read(2, 4, 3_000);
        read(2, 5, 3_010, ready("a"));
        assertThat(acceptsRequests("a", 3_010)).isTrue();
    }

    @Example
    void earlierIncarnationDoesNotReplaceLaterOne() {
        read(1, 5, 0, entry("a", false, 1));
        read(1, 6, 10, entry("a", false, 2));
        read(2, 3, 20, entry("a", false, 1));
        assertThat(mDirectory.find("a").orElseThrow().incarnation().born()).isEqualTo(2);
        assertThat(acceptsRequests("a", 20)).isTrue();
    }

    @Example
    void newIncarnationIsUsedImmediately() {
        read(1, 5, 0, ready("a"));
        read(1, 6, 10);
        read(2, 3, 20, entry("a", false, 2));
        assertThat(acceptsRequests("a", 20)).isTrue();
    }

    @Example
    void targetMissingAfterRestoreIsRetainedForGracePeriod() {
        read(1, 5, 0, ready("a"), ready("b"));
        read(2, 3, 10, ready("a"));
        read(2, 4, 10 + REWRITE_MILLIS, ready("a"));
        assertThat(acceptsRequests("b", 10 + REWRITE_MILLIS)).isTrue();
        assertThat(mDirectory.retainsUnlisted()).isTrue();
        read(2, 4, mDirectory.retainUnlistedUntil(), ready("a"));
        assertThat(mDirectory.find("b").isPresent()).isFalse();
    }

    // ---------------------------------------------------------------- random event orders

    @Property(tries = 200, seed = "41", shrinking = ShrinkingMode.OFF)
    void oneRouter(@ForAll long seed) {
        new World(1, seed).run();
    }

    @Property(tries = 40, seed = "41", shrinking = ShrinkingMode.OFF)
    void twentyThreeRouters(@ForAll long seed) {
        new World(23, seed).run();
    }

    @Property(tries = 4, seed = "41", shrinking = ShrinkingMode.OFF)
    void threeHundredAndFortyRouters(@ForAll long seed) {
        new World(340, seed).run();
    }

    /** Verifies that the check detects the use of an ended incarnation. */
    @Example
    void checkDetectsUseOfEndedIncarnation() {
        World w = new World(1, 1);
        Router r = w.mRouters.get(0);
        w.start(0);
        w.read(r);
        r.mEnded.add(
                r.mDirectory
                        .find("t0")
                        .orElseThrow()
                        .incarnation()); // but the directory still uses it
        try {
            w.check(r);
        } catch (AssertionError e) {
            return;
        }
        throw new AssertionError("use of an ended incarnation not detected");
    }

    /** Store with backups, and routers that read it at different times. */
    private static final class World {
        private final Random mRandom;
        private final List<Router> mRouters = new ArrayList<>();
        private final List<Response> mResponses = new ArrayList<>();
        private Map<String, TargetEntry> mRows = new TreeMap<>();
        private Map<String, TargetEntry> mBackup = new TreeMap<>();
        private final Map<String, TargetEntry> mAlive = new TreeMap<>();
        private StorePosition mPosition = StorePosition.of(1, 1);
        private StorePosition mBackupPosition = mPosition;
        private long mRestoredAt = Long.MIN_VALUE / 2;
        private long mBorn = 1_000_000;
        private long mNow = 1_000;

        /** Response of the store, which may arrive late. */
        private record Response(StorePosition position, List<TargetEntry> rows) {}

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
                lateResponse(r);
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
                    mBackup = new TreeMap<>(mRows);
                    mBackupPosition = mPosition;
                }
                case 4 -> restore();
                default -> advanceTime(1 + mRandom.nextLong(900));
            }
        }

        /**
         * Starts a new incarnation with a unique start time; the target's clock may have stepped
         * back.
         */
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

        private void restore() {
            mRows = new TreeMap<>(mBackup);
            mPosition = StorePosition.of(mPosition.era() + 1, mBackupPosition.revision());
            mRestoredAt = mNow;
        }

        /** Advances time; live targets rewrite their rows and other rows expire. */
        private void advanceTime(long millis) {
            mNow += millis;
            if (mNow - mRestoredAt >= REWRITE_MILLIS - 500) {
                mAlive.values().stream()
                        .filter(e -> !e.equals(mRows.get(e.id())))
                        .toList()
                        .forEach(this::put);
            }
            if (mNow - mRestoredAt >= STALE_ROW_MILLIS) {
                mRows.keySet().retainAll(mAlive.keySet());
            }
        }

        void read(Router r) {
            Response response = new Response(mPosition, List.copyOf(mRows.values()));
            r.apply(response.position(), response.rows(), mNow);
            mResponses.add(response);
        }

        /** Delivers an earlier response, possibly of an earlier era, after newer ones. */
        private void lateResponse(Router r) {
            Response late = mResponses.get(mRandom.nextInt(mResponses.size()));
            if (late.position().isBefore(r.mDirectory.position())) {
                r.apply(late.position(), late.rows(), mNow);
            }
        }

        void check(Router r) {
            for (Target t : r.mDirectory.all()) {
                assertWithMessage("%s at %s ms, store position %s", t.entry(), mNow, mPosition)
                        .that(t.acceptsRequests(mNow) && r.mEnded.contains(t.incarnation()))
                        .isFalse();
            }
            for (TargetEntry e : mRows.values()) {
                boolean usable = e.equals(mAlive.get(e.id())) && !e.leaving();
                boolean knownEnded = r.mEnded.contains(e.incarnation());
                if (usable && !knownEnded) {
                    assertWithMessage("%s at %s ms, store position %s", e, mNow, mPosition)
                            .that(r.mDirectory.find(e.id()).orElseThrow().acceptsRequests(mNow))
                            .isTrue();
                }
            }
        }
    }

    /** Router with a model of the incarnations that it knows to be leaving or ended. */
    private static final class Router {
        private final TargetDirectory mDirectory = TargetDirectory.create();
        private final Set<TargetIncarnation> mEnded = new HashSet<>();

        void apply(StorePosition position, List<TargetEntry> rows, long now) {
            boolean current = !position.isBefore(mDirectory.position());
            for (TargetChange c : mDirectory.apply(position, rows, now)) {
                onChange(c);
            }
            if (current) {
                rows.stream()
                        .filter(TargetEntry::leaving)
                        .forEach(e -> mEnded.add(e.incarnation()));
            }
        }

        private void onChange(TargetChange c) {
            if (c.kind() == TargetChange.Kind.GONE) {
                mEnded.add(c.entry().incarnation());
            }
        }
    }
}
