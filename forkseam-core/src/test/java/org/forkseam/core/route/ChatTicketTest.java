package org.forkseam.core.route;

import static com.google.common.truth.Truth.assertThat;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

import org.junit.jupiter.api.Test;

import java.nio.charset.StandardCharsets;

/** A ticket is read by its own chat only, and only as it was signed. */
class ChatTicketTest {
    private static final byte[] KEY = "a ticket key".getBytes(StandardCharsets.UTF_8);
    private static final ChatTicket TICKET = new ChatTicket(-42, "lm-01", 900, 1_700_000_000_000L);

    @Test
    void survivesTheTrip() {
        assertThat(ChatTicket.read(TICKET.sign(KEY), -42, KEY)).hasValue(TICKET);
    }

    @Test
    void ofAnotherChatOrKeyIsNotRead() {
        String text = TICKET.sign(KEY);
        assertThat(ChatTicket.read(text, 43, KEY)).isEmpty();
        assertThat(ChatTicket.read(text, -42, new byte[] {1})).isEmpty();
    }

    @Property(tries = 300, seed = "3")
    void anyChangedCharacterIsFoundOut(
            @ForAll @IntRange(min = 0, max = 60) int at, @ForAll char c) {
        String text = TICKET.sign(KEY);
        int i = at % (text.length() - 1);
        if (text.charAt(i) != c) {
            String forged = text.substring(0, i) + c + text.substring(i + 1);
            assertThat(ChatTicket.read(forged, -42, KEY)).isEmpty();
        }
    }

    @Property(tries = 200, seed = "4")
    void anyTextIsReadOrRefusedWithoutFailing(@ForAll String text) {
        assertThat(ChatTicket.read(text, 1, KEY)).isEmpty();
    }
}
