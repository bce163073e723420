package org.forkseam.core.route;

import static com.google.common.truth.Truth.assertThat;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

import org.junit.jupiter.api.Test;

import java.nio.charset.StandardCharsets;

/** Tests that a ticket is accepted only unchanged, for its own chat and with its key. */
class ChatTicketTest {
    private static final byte[] KEY = "a ticket key".getBytes(StandardCharsets.UTF_8);
    private static final ChatTicket TICKET = new ChatTicket(-42, "lm-01", 900, 1_700_000_000_000L);

    @Test
    void roundTrips() {
        assertThat(ChatTicket.verify(TICKET.sign(KEY), -42, KEY)).hasValue(TICKET);
    }

    @Test
    void ticketOfAnotherChatOrKeyIsRejected() {
        String text = TICKET.sign(KEY);
        assertThat(ChatTicket.verify(text, 43, KEY)).isEmpty();
        assertThat(ChatTicket.verify(text, -42, new byte[] {1})).isEmpty();
    }

    @Property(tries = 300, seed = "3")
    void anyChangedCharacterIsDetected(
            @ForAll @IntRange(min = 0, max = 60) int position, @ForAll char c) {
        String text = TICKET.sign(KEY);
        int i = position % (text.length() - 1);
        if (text.charAt(i) != c) {
            String forged = text.substring(0, i) + c + text.substring(i + 1);
            assertThat(ChatTicket.verify(forged, -42, KEY)).isEmpty();
        }
    }

    @Property(tries = 200, seed = "4")
    void arbitraryTextIsRejectedWithoutException(@ForAll String text) {
        assertThat(ChatTicket.verify(text, 1, KEY)).isEmpty();
    }
}
