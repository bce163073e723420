package org.forkseam.core.member;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;

import org.junit.jupiter.api.Test;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.SplittableRandom;

/** Tests when a pool counts as having a single version, and when a new version gets streams. */
class VersionHistoryTest {
    private static final long INTERVAL_MILLIS = 1_000;
    private static final long OUTDATED_MILLIS = 2_000;
    private static final long LIFETIME_MILLIS = VersionHistory.STREAM_LIFETIME_MILLIS;

    private final VersionHistory mHistory = VersionHistory.of(INTERVAL_MILLIS);

    private static Target target(String pool, String version) {
        return Target.of(new TargetEntry("i", pool, "10.0.0.1:1", "z", 8, false, 0, 0, version));
    }

    private static List<Target> targets(String... versions) {
        List<Target> out = new ArrayList<>();
        for (String v : versions) {
            out.add(target("p", v));
        }
        return out;
    }

    private static long key(String version) {
        return target("p", version).softwareKey();
    }

    /** Applies the same list once per interval. */
    private void listFrom(long from, long until, String... versions) {
        for (long t = from; t <= until; t += INTERVAL_MILLIS) {
            mHistory.onTargets(targets(versions), t, t);
        }
    }

    @Test
    void soleVersionNeedsACompleteHistory() {
        listFrom(0, LIFETIME_MILLIS - 1, "v1", "v1");
        assertThat(mHistory.soleVersion("p", LIFETIME_MILLIS - 1)).isEqualTo(OptionalLong.empty());
        listFrom(LIFETIME_MILLIS, LIFETIME_MILLIS, "v1", "v1");
        assertThat(mHistory.soleVersion("p", LIFETIME_MILLIS))
                .isEqualTo(OptionalLong.of(key("v1")));
        assertThat(mHistory.soleVersion("other", LIFETIME_MILLIS)).isEqualTo(OptionalLong.empty());
    }

    @Test
    void soleVersionNeedsACurrentList() {
        listFrom(0, LIFETIME_MILLIS, "v1");
        long last = LIFETIME_MILLIS;
        assertThat(mHistory.soleVersion("p", last + OUTDATED_MILLIS).isPresent()).isTrue();
        assertThat(mHistory.soleVersion("p", last + OUTDATED_MILLIS + 1).isPresent()).isFalse();
    }

    /** In a gap between lists, a version may have come and gone. */
    @Test
    void gapBetweenListsStartsTheHistoryAgain() {
        listFrom(0, LIFETIME_MILLIS, "v1");
        long after = LIFETIME_MILLIS + OUTDATED_MILLIS + 1;
        listFrom(after, after + LIFETIME_MILLIS - INTERVAL_MILLIS, "v1");
        long end = after + LIFETIME_MILLIS - INTERVAL_MILLIS;
        assertThat(mHistory.soleVersion("p", end).isPresent()).isFalse();
        listFrom(after + LIFETIME_MILLIS, after + LIFETIME_MILLIS, "v1");
        assertThat(mHistory.soleVersion("p", after + LIFETIME_MILLIS).isPresent()).isTrue();
    }

    @Test
    void versionCountsUntilItsStreamsHaveEnded() {
        listFrom(0, LIFETIME_MILLIS, "v1", "v2");
        long gone = LIFETIME_MILLIS + INTERVAL_MILLIS;
        listFrom(gone, gone + LIFETIME_MILLIS - INTERVAL_MILLIS, "v2");
        long end = gone + LIFETIME_MILLIS - INTERVAL_MILLIS;
        assertThat(mHistory.soleVersion("p", end).isPresent()).isFalse();
        listFrom(gone + LIFETIME_MILLIS, gone + LIFETIME_MILLIS, "v2");
        assertThat(mHistory.soleVersion("p", gone + LIFETIME_MILLIS))
                .isEqualTo(OptionalLong.of(key("v2")));
    }

    private void record(long since, long now, String... versions) {
        Map<Long, Long> recordedAt = new HashMap<>();
        Arrays.stream(versions).forEach(v -> recordedAt.put(key(v), now));
        mHistory.onRecord("p", recordedAt, since, now);
        mHistory.onRecordsCurrent(now);
    }

    @Test
    void newVersionOpensAfterTheDelay() {
        record(0, 0, "v1");
        listFrom(0, 5_000, "v1");
        assertThat(mHistory.unopenedVersions("p", 5_000)).isEmpty();
        listFrom(6_000, 6_000, "v1", "v2", "v2");
        mHistory.onRecord("p", Map.of(key("v1"), 0L, key("v2"), 6_000L), 0, 6_000);
        long opens = 6_000 + mHistory.openingDelayMillis();
        assertThat(mHistory.unopenedVersions("p", opens - 1)).containsExactly(key("v2"));
        assertThat(mHistory.unopenedVersions("p", opens)).isEmpty();
    }

    /** A router that starts later must know every version at which streams have begun. */
    @Test
    void unrecordedVersionDoesNotOpen() {
        record(0, 0, "v1");
        listFrom(0, 20_000, "v1", "v2");
        assertThat(mHistory.unopenedVersions("p", 20_000)).containsExactly(key("v2"));
        assertThat(mHistory.isRecordOutdated("p", 20_000)).isTrue();
        record(0, 20_000, "v1", "v2");
        assertThat(mHistory.isRecordOutdated("p", 20_000)).isFalse();
        long opens = 20_000 + mHistory.openingDelayMillis();
        assertThat(mHistory.unopenedVersions("p", opens)).isEmpty();
    }

    /** Guards against streams that no other router can tell from those of an earlier version. */
    @Test
    void unopenedVersionIsNoFallbackBesideAnEarlierOne() {
        record(0, 0, "v1");
        listFrom(0, 0, "v1");
        assertThat(mHistory.millisToFallback("p", key("v1"), 0)).isEqualTo(0);
        listFrom(20_000, 20_000, "v1", "v2");
        listFrom(21_000, 21_000, "v2");
        long opens = 20_000 + mHistory.openingDelayMillis();
        assertThat(mHistory.millisToFallback("p", key("v2"), 21_000)).isEqualTo(opens - 21_000);
        assertThat(mHistory.millisToFallback("p", key("v2"), opens)).isEqualTo(0);
    }

    @Test
    void firstVersionOfAPoolIsAFallbackAtOnce() {
        listFrom(0, 0, "v1");
        assertThat(mHistory.unopenedVersions("p", 0)).containsExactly(key("v1"));
        assertThat(mHistory.millisToFallback("p", key("v1"), 0)).isEqualTo(0);
    }

    @Test
    void recordReplacesTheHistoryOfARouterThatHasJustStarted() {
        record(-LIFETIME_MILLIS, 0, "v1");
        listFrom(0, 0, "v1");
        assertThat(mHistory.soleVersion("p", 0)).isEqualTo(OptionalLong.of(key("v1")));
    }

    @Test
    void recordedVersionThatIsGoneCountsUntilItsStreamsHaveEnded() {
        record(-LIFETIME_MILLIS, 0, "v1", "v2");
        listFrom(0, LIFETIME_MILLIS, "v1");
        assertThat(mHistory.soleVersion("p", LIFETIME_MILLIS).isPresent()).isFalse();
        listFrom(LIFETIME_MILLIS + 1_000, LIFETIME_MILLIS + 1_000, "v1");
        assertThat(mHistory.soleVersion("p", LIFETIME_MILLIS + 1_000).isPresent()).isTrue();
        assertThat(mHistory.isRecordOutdated("p", LIFETIME_MILLIS + 1_000)).isTrue();
    }

    /** After a gap between lists, a record read before the gap may lack versions. */
    @Test
    void recordReadBeforeAGapDoesNotReplaceTheHistory() {
        record(-LIFETIME_MILLIS, 0, "v1");
        listFrom(0, 0, "v1");
        listFrom(20_000, 20_000, "v1");
        assertThat(mHistory.soleVersion("p", 20_000).isPresent()).isFalse();
        mHistory.onRecordsCurrent(20_000);
        assertThat(mHistory.soleVersion("p", 20_000).isPresent()).isTrue();
    }

    @Test
    void recordThatMayLackVersionsDoesNotReplaceTheHistory() {
        record(Long.MAX_VALUE, 0, "v1");
        listFrom(0, 0, "v1");
        assertThat(mHistory.soleVersion("p", 0).isPresent()).isFalse();
    }

    @Test
    void recordRoundTripsAndMalformedOnesAreRejected() {
        VersionRecord r = new VersionRecord(2, 12_345, Map.of(-7L, 3L, Long.MAX_VALUE, -4L));
        assertThat(VersionRecord.parse(r.format())).isEqualTo(Optional.of(r));
        for (String text :
                List.of(
                        "",
                        "2",
                        "2 1",
                        "x 1 a@1",
                        "1 x a@1",
                        "1 2 g@1",
                        "1 2 a",
                        "1 2 a@",
                        "1 2 a@1 b")) {
            assertThat(VersionRecord.parse(text)).isEqualTo(Optional.empty());
        }
    }

    /**
     * Guards against a router that takes the only version it knows for the one that began a stream,
     * while another router begins streams at a version of which the first has not read yet.
     */
    @Property(tries = 300)
    void noRouterInfersAnotherVersionThanTheOneThatBegan(
            @ForAll @LongRange(min = 1, max = 1_000_000) long seed,
            @ForAll @IntRange(min = 2, max = 23) int routers) {
        SplittableRandom random = new SplittableRandom(seed);
        List<VersionHistory> histories = new ArrayList<>();
        long[] nextRead = new long[routers];
        for (int r = 0; r < routers; r++) {
            histories.add(VersionHistory.of(INTERVAL_MILLIS));
            nextRead[r] = random.nextLong(INTERVAL_MILLIS);
        }
        long joins = LIFETIME_MILLIS + 5_000 + random.nextLong(2_000);
        long leaves = joins + random.nextLong(6_000);
        long end = leaves + LIFETIME_MILLIS + 8_000;
        long lastOld = leaves; // streams of v1 may have begun until every router has read the list
        long firstNew = Long.MAX_VALUE;
        Map<Long, Long> stored = Map.of();
        long storedSince = 0;
        for (long t = 0; t < end; t += 50) {
            for (int r = 0; r < routers; r++) {
                if (t >= nextRead[r]) {
                    String[] listed =
                            t < joins
                                    ? new String[] {"v1"}
                                    : t < leaves ? new String[] {"v1", "v2"} : new String[] {"v2"};
                    if (random.nextInt(20) == 0) {
                        histories.set(r, VersionHistory.of(INTERVAL_MILLIS)); // a restart
                    }
                    VersionHistory read = histories.get(r);
                    read.onRecord("p", stored, stored.isEmpty() ? Long.MAX_VALUE : storedSince, t);
                    read.onRecordsCurrent(t);
                    read.onTargets(targets(listed), t, t);
                    if (read.isRecordOutdated("p", t)) {
                        storedSince = read.completeSince("p");
                        stored = read.nextRecord("p", t);
                    }
                    boolean cutOff = random.nextInt(20) == 0;
                    nextRead[r] = t + (cutOff ? random.nextLong(20_000) : INTERVAL_MILLIS);
                }
                VersionHistory h = histories.get(r);
                boolean opened = !h.unopenedVersions("p", t).contains(key("v2"));
                boolean fallback = t >= leaves && h.millisToFallback("p", key("v2"), t) == 0;
                boolean begins = t >= joins && (opened || fallback);
                if (begins && knows(h, "v2", t)) {
                    firstNew = Math.min(firstNew, t);
                }
            }
            for (VersionHistory h : histories) {
                OptionalLong sole = h.soleVersion("p", t);
                if (sole.isPresent() && sole.getAsLong() == key("v1")) {
                    assertWithMessage("v1 is inferred at %s", t).that(t).isAtMost(firstNew);
                }
                if (sole.isPresent() && sole.getAsLong() == key("v2")) {
                    assertWithMessage("v2 is inferred at %s", t)
                            .that(t)
                            .isAtLeast(lastOld + LIFETIME_MILLIS - OUTDATED_MILLIS);
                }
            }
        }
    }

    /** Returns whether the router's history has a version of the pool. */
    private static boolean knows(VersionHistory h, String version, long now) {
        return h.versions("p").contains(key(version));
    }
}
