package org.forkseam.direct.io;

import static com.google.common.truth.Truth.assertThat;

import io.netty.handler.codec.http.HttpMethod;

import org.junit.jupiter.api.Test;

/** Tests what is counted of bytes that belong to no due response. */
class SurplusCountsTest {
    private static final String SOUND =
            "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nContent-Length: 0\r\n\r\n";

    /** Guards against surplus bytes that no metric tells of. */
    @Test
    void bytesOutsideAnExchangeAreCounted() {
        EmbeddedExchange e = new EmbeddedExchange();
        e.send(HttpMethod.GET);
        e.receive(SOUND);
        assertThat(e.surplus(SurplusKind.OUTSIDE_EXCHANGE)).isEqualTo(0);
        e.receive("HT");
        assertThat(e.surplus(SurplusKind.OUTSIDE_EXCHANGE)).isEqualTo(1);
        assertThat(e.surplusBytes(SurplusKind.OUTSIDE_EXCHANGE)).isEqualTo(2);
    }

    /** Guards against skipped responses that no metric tells of. */
    @Test
    void skippedResponsesAreCounted() {
        EmbeddedExchange e = new EmbeddedExchange();
        e.send(HttpMethod.GET);
        e.receive("HTTP/1.1 200 OK\r\nRequest-Id: x\r\nContent-Length: 1\r\n\r\n!" + SOUND);
        assertThat(e.ends()).containsExactly("END 200");
        assertThat(e.surplus(SurplusKind.OTHER_REQUEST)).isEqualTo(1);
    }
}
