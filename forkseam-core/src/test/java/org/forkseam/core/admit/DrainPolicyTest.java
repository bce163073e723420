package org.forkseam.core.admit;

import static com.google.common.truth.Truth.assertThat;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;

import org.junit.jupiter.api.Test;

import java.util.OptionalLong;

/** Tests which requests a router that is stopping still begins. */
class DrainPolicyTest {
    private static final long BALANCER_KNOWS = 2_600;
    private static final long ENDS = 7_300;
    private static final OptionalLong UNKNOWN = OptionalLong.empty();

    private final DrainPolicy mPolicy = DrainPolicy.of(BALANCER_KNOWS, ENDS);

    @Test
    void requestsWhoseLimitFitsBegin() {
        assertThat(mPolicy.mayBegin(false, ENDS, UNKNOWN, 5_000)).isTrue();
        assertThat(mPolicy.mayBegin(false, ENDS + 1, UNKNOWN, 5_000)).isFalse();
        assertThat(mPolicy.mayBegin(true, ENDS + 1, UNKNOWN, 5_000)).isFalse();
    }

    @Test
    void requestsThatUsuallyEndInTimeBegin() {
        OptionalLong longest = OptionalLong.of(2_000);
        assertThat(mPolicy.mayBegin(true, 20_000, longest, 5_300)).isTrue();
        assertThat(mPolicy.mayBegin(true, 20_000, longest, 5_301)).isFalse();
        assertThat(mPolicy.mayBegin(false, 20_000, longest, 2_000)).isTrue();
        assertThat(mPolicy.mayBegin(false, 20_000, OptionalLong.of(3_000), 2_000)).isFalse();
        assertThat(mPolicy.mayBegin(false, 20_000, longest, BALANCER_KNOWS)).isFalse();
    }

    /** Guards against a request that may run once only and is broken off at the end. */
    @Property
    void unrepeatableRequestsThatBeginLateEndBeforeTheRouter(
            @ForAll @LongRange(min = BALANCER_KNOWS, max = ENDS) long now,
            @ForAll @LongRange(min = 1, max = 20_000) long limit,
            @ForAll @LongRange(min = 1, max = 20_000) long longest) {
        if (mPolicy.mayBegin(false, now + limit, OptionalLong.of(longest), now)) {
            assertThat(now + limit).isAtMost(ENDS);
        }
    }
}
