package org.forkseam.direct.flow;

import static com.google.common.truth.Truth.assertThat;

import io.netty.buffer.Unpooled;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

import org.forkseam.direct.io.EventSplitter;
import org.junit.jupiter.api.Test;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;

/** Tests the position up to which events were forwarded. */
class StreamPositionTest {
    /** Form of an event in a generated stream. */
    enum Form {
        WITH_ID("id: %d\ndata: x%d\n\n"),
        ID_LAST("data: x\nid:%d\n\n"),
        WITHOUT_ID("data: x\n\n"),
        EMPTY_ID("id:\ndata: x\n\n"),
        ID_IN_DATA("data: id: %d\n\n"),
        COMMENT(": keep-alive\n\n");

        private final String mFormat;

        Form(String format) {
            mFormat = format;
        }

        private boolean hasId() {
            return this == WITH_ID || this == ID_LAST;
        }
    }

    private static void forward(StreamPosition p, EventSplitter s, String text) {
        s.add(Unpooled.copiedBuffer(text, StandardCharsets.UTF_8));
        p.onForwarded(s.takeCompleteEvents());
    }

    @Property(tries = 500)
    void positionIsThatOfTheLastIdForAnySegments(
            @ForAll @Size(min = 1, max = 10) List<Form> forms,
            @ForAll @Size(max = 30) List<@IntRange(min = 1, max = 30) Integer> cuts,
            @ForAll boolean crlf) {
        StringBuilder all = new StringBuilder();
        Optional<String> expected = Optional.of("0");
        for (int i = 1; i <= forms.size(); i++) {
            Form form = forms.get(i - 1);
            all.append(form.mFormat.formatted(i, i));
            expected = form.hasId() ? Optional.of("" + i) : expected;
        }
        String stream = (all + "id: 99\nda").replace("\n", crlf ? "\r\n" : "\n");
        StreamPosition p = StreamPosition.after(Optional.of("0"));
        EventSplitter s = EventSplitter.create();
        int at = 0;
        for (int cut : cuts) {
            int end = Math.min(stream.length(), at + cut);
            forward(p, s, stream.substring(at, end));
            at = end;
        }
        forward(p, s, stream.substring(at));
        assertThat(p.lastEventId()).isEqualTo(expected);
    }

    /** Guards against memory that grows with a stream whose events have no ids. */
    @Test
    void unidentifiedEventsAreBounded() {
        StreamPosition p = StreamPosition.after(Optional.of("1"));
        String event = "data: " + "x".repeat(1_000) + "\n\n";
        for (int i = 0; i <= StreamPosition.MAX_UNIDENTIFIED_BYTES / 1_000; i++) {
            forward(p, EventSplitter.create(), event);
        }
        assertThat(p.isResumable()).isFalse();
        assertThat(p.unidentified()).isEmpty();
        forward(p, EventSplitter.create(), "id: 2\ndata: x\n\n");
        assertThat(p.isResumable()).isTrue();
    }

    @Test
    void streamWithoutIdsHasNoLastEventId() {
        StreamPosition p = StreamPosition.after(Optional.empty());
        forward(p, EventSplitter.create(), "data: a\n\n");
        assertThat(p.lastEventId()).isEqualTo(Optional.empty());
    }
}
