package org.forkseam.core.route;

import static com.google.common.truth.Truth.assertThat;

import org.forkseam.core.member.Target;
import org.forkseam.core.member.TargetDirectory;
import org.forkseam.core.member.TargetEntry;
import org.forkseam.core.member.TargetIncarnation;
import org.forkseam.core.store.StorePosition;
import org.junit.jupiter.api.Test;

import java.util.List;
import java.util.Optional;

/** Tests from which target a prompt is copied. */
class PromptHolderIndexTest {
    private static final long KEY = 77;

    private final PromptHolderIndex mIndex = PromptHolderIndex.create();
    private final TargetDirectory mDirectory = TargetDirectory.create();

    PromptHolderIndexTest() {
        mDirectory.apply(StorePosition.of(0, 1), List.of(entry("a"), entry("b"), entry("c")), 0);
    }

    private static TargetEntry entry(String id) {
        return new TargetEntry(id, "pool", "10.0.0.1:1", "z", 8, false, 0);
    }

    private static TargetEntry entry(String id, String version) {
        return new TargetEntry(id, "pool", "10.0.0.1:1", "z", 8, false, 0, 0, version);
    }

    private static TargetIncarnation start(String id) {
        return new TargetIncarnation(id, 0);
    }

    private Target target(String id) {
        return mDirectory.find(id).orElseThrow();
    }

    private Optional<String> source(String chosen, long now, String... likely) {
        return mIndex.copySource(KEY, target(chosen), List.of(likely), mDirectory, now)
                .map(t -> t.entry().id());
    }

    @Test
    void knownHolderCopiesNothing() {
        mIndex.onAnswered(KEY, start("a"), 0);
        assertThat(source("a", 100, "b", "a")).isEqualTo(Optional.empty());
    }

    /** Guards against counting a prompt as cached by a target that was restarted or is idle. */
    @Test
    void holderIsKnownUntilItsEntryExpires() {
        mIndex.onAnswered(KEY, start("a"), 0);
        assertThat(mIndex.isHolder(KEY, start("a"), 59_999)).isTrue();
        assertThat(mIndex.isHolder(KEY, start("a"), 60_000)).isFalse();
        assertThat(mIndex.isHolder(KEY, start("b"), 100)).isFalse();
        assertThat(mIndex.isHolder(KEY, new TargetIncarnation("a", 1), 100)).isFalse();
        assertThat(mIndex.isHolder(KEY + 1, start("a"), 100)).isFalse();
    }

    @Test
    void theNewestKnownHolderIsTheSource() {
        mIndex.onAnswered(KEY, start("a"), 10);
        mIndex.onAnswered(KEY, start("b"), 20);
        assertThat(source("c", 100, "c", "a")).isEqualTo(Optional.of("b"));
    }

    /** A restart loses a target's cache. */
    @Test
    void restartedTargetIsNoHolder() {
        mIndex.onAnswered(KEY, start("a"), 10);
        mIndex.onAnswered(KEY, start("b"), 20);
        TargetEntry restarted = new TargetEntry("b", "pool", "10.0.0.1:1", "z", 8, false, 0, 1_000);
        mDirectory.apply(StorePosition.of(0, 2), List.of(entry("a"), restarted, entry("c")), 50);
        assertThat(source("c", 100, "c")).isEqualTo(Optional.of("a"));
        assertThat(source("b", 100, "b")).isEqualTo(Optional.of("a"));
        mIndex.onAnswered(KEY, restarted.incarnation(), 110);
        assertThat(source("c", 120, "c")).isEqualTo(Optional.of("b"));
    }

    @Test
    void likeliestTargetCopiesNothing() {
        assertThat(source("a", 100, "a", "b")).isEqualTo(Optional.empty());
    }

    @Test
    void spilledRequestCopiesFromHome() {
        assertThat(source("c", 100, "a", "b", "c")).isEqualTo(Optional.of("a"));
    }

    /**
     * Guards against a target that goes on with a prompt that another software version has read.
     */
    @Test
    void targetOfAnotherVersionIsNoSource() {
        mDirectory.apply(
                StorePosition.of(0, 2),
                List.of(entry("a", "v1"), entry("b", "v2"), entry("c", "v1")),
                50);
        mIndex.onAnswered(KEY, start("b"), 60);
        assertThat(source("c", 100, "c")).isEqualTo(Optional.empty());
        assertThat(source("c", 100, "b", "a", "c")).isEqualTo(Optional.of("a"));
        mIndex.onAnswered(KEY, start("a"), 55);
        assertThat(source("c", 100, "c")).isEqualTo(Optional.of("a"));
    }

    @Test
    void unhealthyHomeIsNoSource() {
        target("a").health().onFailure(90);
        target("a").health().onFailure(91);
        assertThat(source("c", 100, "a", "b", "c")).isEqualTo(Optional.of("b"));
    }

    @Test
    void recentlyRemovedTargetRemainsASourceBriefly() {
        mIndex.onAnswered(KEY, start("a"), 10);
        target("a").onDataReceived(1_000);
        mDirectory.apply(StorePosition.of(0, 2), List.of(entry("b"), entry("c")), 1_500);
        assertThat(source("c", 2_000, "c")).isEqualTo(Optional.of("a"));
        assertThat(source("c", 9_000, "c")).isEqualTo(Optional.empty());
    }
}
