package org.forkseam.core.answer;

import static com.google.common.truth.Truth.assertThat;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

import org.junit.jupiter.api.Test;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;

/**
 * Tests that a response is delivered exactly once and in order, and is never reported as complete
 * if it is not.
 */
class ResponseTest {
    private static ResponseBuffer response(int frames, Random random) {
        ResponseBuffer b = ResponseBuffer.of(1 << 20);
        for (int i = 0; i < frames; i++) {
            byte[] data = new byte[random.nextInt(6)];
            random.nextBytes(data);
            b.append(data);
        }
        return b;
    }

    private static byte[] bytes(ResponseBuffer b) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        for (int i = 0; i < b.frameCount(); i++) {
            out.writeBytes(b.frame(i));
        }
        return out.toByteArray();
    }

    @Property(tries = 400, seed = "41")
    void reorderedAndDuplicateFramesGiveTheExactResponse(
            @ForAll Random random, @ForAll @IntRange(min = 0, max = 40) int n) {
        ResponseBuffer b = response(n, random);
        List<Integer> order = new ArrayList<>();
        for (int i = 0; i < n; i++) {
            order.add(i);
            if (random.nextInt(3) == 0) {
                order.add(i);
            }
        }
        Collections.shuffle(order, random);
        int endAt = random.nextInt(order.size() + 1);
        ResponseAssembler a = new ResponseAssembler();
        ByteArrayOutputStream got = new ByteArrayOutputStream();
        for (int i = 0; i <= order.size(); i++) {
            if (i == endAt) {
                a.onEnd(b.frameCount(), b.checksum());
            }
            if (i < order.size()) {
                int f = order.get(i);
                a.onFrame(f, b.frame(f)).forEach(got::writeBytes);
            }
        }
        assertThat(a.state()).isEqualTo(ResponseAssembler.State.COMPLETE);
        assertThat(got.toByteArray()).isEqualTo(bytes(b));
    }

    @Property(tries = 400, seed = "42")
    void missingOrForeignFrameIsNeverComplete(
            @ForAll Random random, @ForAll @IntRange(min = 1, max = 20) int n) {
        ResponseBuffer b = response(n, random);
        int bad = random.nextInt(n);
        boolean drop = random.nextBoolean();
        ResponseAssembler a = new ResponseAssembler();
        for (int i = 0; i < n; i++) {
            if (i != bad) {
                a.onFrame(i, b.frame(i));
            } else if (!drop) {
                a.onFrame(i, "of another answer".getBytes(StandardCharsets.UTF_8));
            }
        }
        a.onEnd(b.frameCount(), b.checksum());
        assertThat(a.state()).isNotEqualTo(ResponseAssembler.State.COMPLETE);
    }

    @Test
    void resumedElsewhereChecksOnlyTheRest() {
        ResponseBuffer first = response(5, new Random(1));
        ResponseAssembler a = new ResponseAssembler();
        a.onFrame(0, first.frame(0));
        a.onFrame(1, first.frame(1));
        ResponseBuffer rest = ResponseBuffer.from(2, 1000);
        rest.append(first.frame(2));
        rest.append(first.frame(3));
        a.onResumedElsewhere();
        a.onFrame(2, rest.frame(2));
        a.onFrame(3, rest.frame(3));
        a.onEnd(rest.frameCount(), rest.checksum());
        assertThat(a.state()).isEqualTo(ResponseAssembler.State.COMPLETE);
    }

    @Test
    void bufferDropsOnlyAcknowledgedFrames() {
        ResponseBuffer b = ResponseBuffer.of(10);
        for (int i = 0; i < 5; i++) {
            b.append(new byte[4]);
        }
        assertThat(b.has(0)).isTrue();
        b.ack(2);
        assertThat(b.has(1)).isFalse();
        assertThat(b.has(2)).isTrue();
        assertThat(b.frameCount()).isEqualTo(5);
    }
}
