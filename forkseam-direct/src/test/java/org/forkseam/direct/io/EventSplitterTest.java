package org.forkseam.direct.io;

import static com.google.common.truth.Truth.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import java.nio.charset.StandardCharsets;
import java.util.List;

/** Tests that streams are split at event boundaries. */
class EventSplitterTest {
    private static ByteBuf bytes(String text) {
        return Unpooled.copiedBuffer(text, StandardCharsets.UTF_8);
    }

    private static byte[] take(EventSplitter s, String text) {
        s.add(bytes(text));
        return s.takeCompleteEvents();
    }

    private static String text(byte[] events) {
        return new String(events, StandardCharsets.UTF_8);
    }

    @Property(tries = 300)
    void eventsStayCompleteForAnySplit(
            @ForAll @IntRange(min = 1, max = 8) int events,
            @ForAll @Size(max = 20) List<@IntRange(min = 1, max = 30) Integer> cuts,
            @ForAll boolean crlf) {
        String nl = crlf ? "\r\n" : "\n";
        StringBuilder all = new StringBuilder();
        for (int i = 1; i <= events; i++) {
            all.append("id: ").append(i).append(nl).append("data: x").append(i).append(nl + nl);
        }
        String stream = all + "id: 99" + nl + "da";
        EventSplitter s = EventSplitter.create();
        StringBuilder passed = new StringBuilder();
        int at = 0;
        for (int cut : cuts) {
            int end = Math.min(stream.length(), at + cut);
            passed.append(text(take(s, stream.substring(at, end))));
            assertThat(passed.length() == 0 || passed.toString().endsWith(nl + nl)).isTrue();
            at = end;
        }
        passed.append(text(take(s, stream.substring(at))));
        assertThat(passed.toString()).isEqualTo(all.toString());
        assertThat(s.hasPartialEvent()).isTrue();
    }

    @Test
    void allCompleteEventsAreTakenAtOnce() {
        EventSplitter s = EventSplitter.create();
        s.add(bytes("id: 1\ndata: a\n\n"));
        s.add(bytes("id: 2\ndata: b\n\nid: 3\n"));
        assertThat(text(s.takeCompleteEvents())).isEqualTo("id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
        assertThat(s.takeCompleteEvents()).isEmpty();
        assertThat(s.hasPartialEvent()).isTrue();
    }

    /** Guards against taking a whole stream for one that ended within an event. */
    @ParameterizedTest
    @ValueSource(strings = {"\n", "\r\n", "\r", "\n\n\n"})
    void blankLinesInAReadOfTheirOwnAreNoPartialEvent(String blank) {
        EventSplitter s = EventSplitter.create();
        take(s, "id: 1\ndata: a\n\n");
        take(s, blank);
        assertThat(s.hasPartialEvent()).isFalse();
        take(s, ":");
        assertThat(s.hasPartialEvent()).isTrue();
    }
}
