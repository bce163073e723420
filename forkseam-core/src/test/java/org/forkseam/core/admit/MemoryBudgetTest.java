package org.forkseam.core.admit;

import static com.google.common.truth.Truth.assertThat;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;

import org.forkseam.core.admit.MemoryBudget.Use;
import org.junit.jupiter.api.Test;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/** Tests what is kept and what is given up of all requests and responses together. */
class MemoryBudgetTest {
    private static final int KB = 1 << 10;
    private static final int MB = 1 << 20;
    private static final long MAX_BYTES = 32 * MB;
    private static final int LARGEST_BODY = 4 * MB;
    private static final int ORDINARY_BYTES = 8 * KB;

    private final MemoryBudget mBudget = MemoryBudget.of(MAX_BYTES);
    private final List<Peer> mRevoked = new ArrayList<>();
    private long mNow;

    /** A peer that records what is revoked. */
    private final class Peer implements MemoryBudget.Owner {
        private final MemoryBudget.Account mAccount = mBudget.open(this);
        private boolean mClosed;

        boolean unfinished(long bytes) {
            return mAccount.holdUnfinished(bytes, mNow);
        }

        /** Receives more of a response; returns false if it was given up. */
        boolean receive(long bytes) {
            if (!mAccount.holdResponse(mAccount.bytes(Use.RESPONSE) + bytes, mNow)) {
                mAccount.close();
                mRevoked.add(this);
                mClosed = true;
            }
            return !mClosed;
        }

        boolean request(long bytes) {
            return mAccount.holdRequest(bytes, mNow);
        }

        @Override
        public void onMemoryRevoked(Use use) {
            assertThat(mAccount.bytes(use)).isEqualTo(0);
            mRevoked.add(this);
            mClosed = true;
        }
    }

    private List<Peer> unfinishedPeers(int count, long bytes) {
        List<Peer> peers = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            Peer p = new Peer();
            if (p.unfinished(bytes)) {
                peers.add(p);
            }
        }
        return peers;
    }

    // ---------------------------------------------------------------- unfinished requests

    /** Guards against memory that grows with the number of callers, and against overtaking. */
    @Test
    void newestUnfinishedRequestsAreRefused() {
        List<Peer> admitted = unfinishedPeers(29, LARGEST_BODY);
        assertThat(admitted).hasSize(4);
        assertThat(mRevoked).isEmpty();
        assertThat(mBudget.totalBytes()).isAtMost(MAX_BYTES);
        // The oldest may grow at the cost of the newest.
        assertThat(admitted.get(0).unfinished(LARGEST_BODY + MB)).isTrue();
        assertThat(mRevoked).containsExactly(admitted.get(3));
    }

    /** Guards against an ordinary request that is given up for a crowd of larger ones. */
    @Test
    void ordinaryUnfinishedRequestIsNotGivenUpForLargerOnes() {
        List<Peer> crowd = unfinishedPeers(2_000, 60 * KB);
        Peer ordinary = new Peer();
        assertThat(ordinary.unfinished(ORDINARY_BYTES)).isTrue();
        crowd.get(0).unfinished(400 * KB);
        unfinishedPeers(2_000, 60 * KB);
        assertThat(mRevoked).doesNotContain(ordinary);
        assertThat(ordinary.unfinished(2 * ORDINARY_BYTES)).isTrue();
    }

    /** Guards against memory that is taken for good by requests that stop short of their end. */
    @Test
    void stalledRequestsAreGivenUpFirst() {
        List<Peer> stalled = unfinishedPeers(29, LARGEST_BODY);
        mNow += 999;
        assertThat(new Peer().unfinished(LARGEST_BODY)).isFalse();
        mNow += 1;
        assertThat(new Peer().unfinished(LARGEST_BODY)).isTrue();
        assertThat(mRevoked).hasSize(1);
        assertThat(stalled).containsAtLeastElementsIn(mRevoked);
    }

    /** Guards against a request that is refused in calm because of its size. */
    @Test
    void aSingleRequestMayTakeMoreThanTheShareOfUnfinishedOnes() {
        Peer large = new Peer();
        assertThat(large.unfinished(MAX_BYTES * 3 / 4)).isTrue();
        assertThat(new Peer().unfinished(KB)).isTrue();
        assertThat(mRevoked).containsExactly(large);
    }

    /** Guards against requests that grow together until none can, and are all refused. */
    @Test
    void requestsThatGrowTogetherEndInOrderOfArrival() {
        List<Peer> open = unfinishedPeers(29, KB);
        List<Peer> whole = new ArrayList<>();
        for (long size = 2 * KB; !open.isEmpty(); size = Math.min(2 * size, LARGEST_BODY)) {
            for (Peer p : List.copyOf(open)) {
                if (!p.mClosed && p.unfinished(size) && size == LARGEST_BODY) {
                    whole.add(p);
                    p.mAccount.close();
                    open.remove(p);
                }
            }
            open.removeIf(p -> p.mClosed);
        }
        assertThat(whole.size()).isAtLeast(4);
        assertThat(whole.size() + mRevoked.size()).isEqualTo(29);
    }

    // ---------------------------------------------------------------- whole requests

    /** Guards against whole requests that are refused while others have not arrived. */
    @Test
    void wholeRequestsGoBeforeUnfinishedOnes() {
        unfinishedPeers(500, 32 * KB);
        int served = 0;
        while (new Peer().request(60 * KB)) {
            served++;
        }
        assertThat(served).isEqualTo((int) (MAX_BYTES / (60 * KB)));
        assertThat(mBudget.unfinishedBytes()).isEqualTo(0);
    }

    /** Guards against large requests that keep ordinary ones out. */
    @Test
    void ordinaryRequestsHaveRoomBesideLargeOnes() {
        while (new Peer().request(LARGEST_BODY)) {
            assertThat(mBudget.totalBytes()).isAtMost(MAX_BYTES);
        }
        unfinishedPeers(100, LARGEST_BODY);
        for (int i = 0; i < 100; i++) {
            assertThat(new Peer().request(ORDINARY_BYTES)).isTrue();
        }
    }

    // ---------------------------------------------------------------- responses

    /** Guards against memory that grows with the number of responses without end. */
    @Test
    void responsesWithoutEndAreEndedAndOthersStay() {
        List<Peer> endless = new ArrayList<>();
        List<Peer> others = new ArrayList<>();
        for (int i = 0; i < 24; i++) {
            endless.add(new Peer());
            others.add(new Peer());
            others.get(i).receive(MB / 4);
        }
        Random random = new Random(1);
        while (mRevoked.size() < endless.size()) {
            Peer p = endless.get(random.nextInt(endless.size()));
            if (!p.mClosed) {
                p.receive(MB / 4);
            }
            assertThat(mBudget.totalBytes()).isAtMost(MAX_BYTES);
        }
        assertThat(mRevoked).containsExactlyElementsIn(endless);
    }

    /** Guards against ending whole responses within the bound. */
    @Test
    void responsesWithinTheBoundStay() {
        for (int i = 0; i < 22; i++) {
            new Peer().receive(MB);
        }
        assertThat(mRevoked).isEmpty();
        new Peer().receive(64 * KB - 1);
        assertThat(mRevoked).isEmpty();
    }

    @Test
    void unfinishedRequestsAreGivenUpForResponses() {
        unfinishedPeers(200, 64 * KB);
        Peer request = new Peer();
        assertThat(request.request(15 * MB)).isTrue();
        Peer response = new Peer();
        assertThat(response.receive(16 * MB)).isTrue();
        assertThat(mRevoked).isNotEmpty();
        assertThat(mRevoked).doesNotContain(request);
    }

    // ---------------------------------------------------------------- all uses

    @Test
    void closedAccountsTakeNoMemory() {
        Peer p = new Peer();
        p.unfinished(MB);
        p.request(MB);
        p.receive(MB);
        assertThat(mBudget.totalBytes()).isEqualTo(3 * MB);
        p.mAccount.close();
        p.mAccount.close();
        assertThat(mBudget.totalBytes()).isEqualTo(0);
        assertThat(new Peer().unfinished(30 * MB)).isFalse();
        assertThat(new Peer().unfinished(25 * MB)).isTrue();
    }

    /** Guards against a sum that drifts, or exceeds the budget, after any sequence of calls. */
    @Property(tries = 200)
    void totalIsThatOfTheAccountsAndWithinTheBudget(
            @ForAll @LongRange(min = 1, max = 1_000_000) long seed) {
        Random random = new Random(seed);
        List<Peer> peers = new ArrayList<>();
        for (int i = 0; i < 40; i++) {
            peers.add(new Peer());
        }
        for (int i = 0; i < 2_000; i++) {
            mNow += random.nextInt(50);
            Peer p = peers.get(random.nextInt(peers.size()));
            long bytes = random.nextInt(4) == 0 ? 0 : 1 + random.nextInt(2 * MB);
            switch (random.nextInt(4)) {
                case 0 -> p.unfinished(bytes);
                case 1 -> p.request(bytes);
                case 2 -> p.mAccount.holdResponse(bytes, mNow);
                default -> p.mAccount.close();
            }
            long sum = 0;
            for (Peer q : peers) {
                for (Use u : Use.values()) {
                    sum += q.mAccount.bytes(u);
                }
            }
            assertThat(mBudget.totalBytes()).isEqualTo(sum);
            assertThat(sum).isAtMost(MAX_BYTES);
        }
        peers.forEach(p -> p.mAccount.close());
        assertThat(mBudget.totalBytes()).isEqualTo(0);
    }
}
