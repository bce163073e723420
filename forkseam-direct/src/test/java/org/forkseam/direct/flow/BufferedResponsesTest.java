package org.forkseam.direct.flow;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/** Tests the bound on the memory of all buffered responses. */
class BufferedResponsesTest {
    private static final int MB = 1 << 20;
    private static final long MAX_BYTES = 32 * MB;

    private final BufferedResponses mResponses = BufferedResponses.of(MAX_BYTES);
    private final List<Response> mEnded = new ArrayList<>();

    /** A response that records its end. */
    private final class Response implements BufferedResponses.Holder {
        private int mBytes;

        void receive(int bytes) {
            mBytes += bytes;
            mResponses.onBuffered(this, mBytes);
        }

        @Override
        public void onResponseTooLarge(String detail) {
            mEnded.add(this);
        }
    }

    /** Guards against memory that grows with the number of responses without end. */
    @Test
    void responsesWithoutEndAreEndedAndOthersStay() {
        List<Response> endless = new ArrayList<>();
        List<Response> others = new ArrayList<>();
        for (int i = 0; i < 24; i++) {
            endless.add(new Response());
            others.add(new Response());
            others.get(i).receive(MB / 4);
        }
        Random random = new Random(1);
        while (mEnded.size() < endless.size()) {
            Response r = endless.get(random.nextInt(endless.size()));
            if (!mEnded.contains(r)) {
                r.receive(MB / 4);
            }
            assertThat(mResponses.totalBytes()).isAtMost(MAX_BYTES);
        }
        assertThat(mEnded).containsExactlyElementsIn(endless);
    }

    /** Guards against ending whole responses within the bound. */
    @Test
    void responsesWithinTheBoundStay() {
        for (int i = 0; i < 32; i++) {
            new Response().receive(MB);
        }
        assertThat(mEnded).isEmpty();
        new Response().receive(BufferedResponses.MIN_TRACKED_BYTES - 1);
        assertThat(mEnded).isEmpty();
    }

    @Test
    void releasedBytesAreFree() {
        Response r = new Response();
        r.receive(30 * MB);
        mResponses.release(r);
        assertThat(mResponses.totalBytes()).isEqualTo(0);
        new Response().receive(30 * MB);
        assertThat(mEnded).isEmpty();
    }
}
