package org.forkseam.direct.io;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import io.netty.handler.codec.http.HttpMethod;

import org.forkseam.direct.io.EmbeddedExchange.Segments;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests which bytes on a connection belong to which response, wherever a surplus response is cut
 * and however it is divided into reads.
 */
class ResponseBoundaryMatrixTest {
    private static final String DUE_ERROR = head("500 Error", "r2", "Content-Length: 4") + "oops";
    private static final String DUE_SUCCESS = head("200 OK", "r2", "Content-Length: 4") + "good";

    /** Responses to another request that arrive where another is due. */
    enum Surplus {
        LENGTH(head("200 OK", "x", "Content-Length: 5") + "other"),
        LATE_ID(
                "HTTP/1.1 200 OK\r\nContent-Type: text/plain; a=b\r\nContent-Length: 5\r\n"
                        + "Request-Id: x\r\n\r\nother"),
        EARLY_LENGTH(
                "HTTP/1.1 200 OK\r\nContent-Length: 300\r\nRequest-Id: x\r\n\r\n"
                        + "other ".repeat(50)),
        CHUNKS(
                head("200 OK", "x", "Transfer-Encoding: chunked")
                        + "5\r\nother\r\n1a;ext=1\r\nabcdefghijklmnopqrstuvwxyz\r\n0\r\n\r\n"),
        TRAILERS(
                head("200 OK", "x", "Transfer-Encoding: chunked")
                        + "5\r\nother\r\n0\r\nX-Sum: 1\r\nX-End: y\r\n\r\n"),
        NO_CONTENT("HTTP/1.1 204 No Content\r\nX-A: b\r\nRequest-Id: x\r\n\r\n"),
        ERROR(head("503 Full", "x", "Content-Length: 4") + "full");

        private final String mText;

        Surplus(String text) {
            mText = text;
        }
    }

    private static String head(String status, String id, String fields) {
        return "HTTP/1.1 " + status + "\r\nRequest-Id: " + id + "\r\n" + fields + "\r\n\r\n";
    }

    /** Returns a connection that has carried one exchange. */
    private static EmbeddedExchange used() {
        EmbeddedExchange e = new EmbeddedExchange();
        e.send(HttpMethod.GET);
        e.receive(head("200 OK", "r1", "Content-Length: 4") + "done");
        assertThat(e.ends()).containsExactly("END 200 done");
        assertThat(e.isUsable()).isTrue();
        return e;
    }

    // ---------------------------------------------------------------- between responses

    /** Guards against a part of a surplus head that waits for the next response. */
    @ParameterizedTest
    @EnumSource(Surplus.class)
    void bytesOutsideAnExchangeCloseTheConnection(Surplus s) {
        for (int cut = 1; cut <= s.mText.length(); cut++) {
            EmbeddedExchange e = used();
            e.receive(s.mText.substring(0, cut));
            assertWithMessage("open after byte %s of %s", cut, s).that(e.isOpen()).isFalse();
            assertThat(e.surplus(SurplusKind.OUTSIDE_EXCHANGE)).isEqualTo(1);
        }
    }

    /** Guards against surplus bytes in the read of a response that wait for the next one. */
    @ParameterizedTest
    @EnumSource(Surplus.class)
    void bytesBehindAResponseEndTheReuse(Surplus s) {
        for (int cut = 1; cut <= s.mText.length(); cut++) {
            EmbeddedExchange e = new EmbeddedExchange();
            e.send(HttpMethod.GET);
            e.receive(
                    head("200 OK", "r1", "Content-Length: 4") + "done" + s.mText.substring(0, cut));
            assertThat(e.ends()).containsExactly("END 200 done");
            assertWithMessage("usable after byte %s of %s", cut, s).that(e.isUsable()).isFalse();
            assertThat(e.surplus(SurplusKind.BEHIND_RESPONSE)).isEqualTo(1);
        }
    }

    /** Guards against bodies of responses that have none being read as the next response. */
    @ParameterizedTest
    @CsvSource({"GET, 204 No Content", "GET, 304 Not Modified", "HEAD, 200 OK"})
    void bodyOfAResponseWithoutOneEndsTheReuse(HttpMethod method, String status) {
        EmbeddedExchange e = new EmbeddedExchange();
        e.send(method);
        e.receive(head(status, "r1", "Content-Length: 4") + "body");
        assertThat(e.lastEnd()).startsWith("END " + status.substring(0, 3));
        assertThat(e.isUsable()).isFalse();
    }

    /** Guards against a body that follows a 204 later and is read as the next response. */
    @Test
    void noContentThatAnnouncesABodyEndsTheReuse() {
        EmbeddedExchange e = new EmbeddedExchange();
        e.send(HttpMethod.GET);
        e.receive(head("204 No Content", "r1", "Content-Length: 4"));
        assertThat(e.lastEnd()).isEqualTo("END 204");
        assertThat(e.isUsable()).isFalse();
    }

    // ---------------------------------------------------------------- before the due response

    /** Guards against a success made of a part of a surplus response and the due failure. */
    @ParameterizedTest
    @EnumSource(Surplus.class)
    void partOfALateResponseIsNoSuccess(Surplus s) {
        for (int cut = 1; cut < s.mText.length(); cut++) {
            for (Segments segments : Segments.values()) {
                EmbeddedExchange e = used();
                e.send(HttpMethod.GET);
                e.receive(s.mText.substring(0, cut), segments);
                e.receive(DUE_ERROR, segments);
                assertWithMessage("%s, byte %s, %s", s, cut, segments)
                        .that(e.lastEnd())
                        .isEqualTo("MALFORMED");
            }
        }
    }

    /** Guards against a failure made of a part of a surplus response and the due success. */
    @ParameterizedTest
    @EnumSource(Surplus.class)
    void partOfALateResponseDoesNotChangeASuccess(Surplus s) {
        for (int cut = 1; cut < s.mText.length(); cut++) {
            EmbeddedExchange e = used();
            e.send(HttpMethod.GET);
            e.receive(s.mText.substring(0, cut) + DUE_SUCCESS);
            assertWithMessage("%s, byte %s", s, cut).that(e.lastEnd()).isEqualTo("MALFORMED");
        }
    }

    /** Guards against the rest of a surplus body being taken for a status line. */
    @Test
    void restOfALateBodyIsNoSuccess() {
        String body = "other bytes";
        for (int cut = 0; cut < body.length(); cut++) {
            EmbeddedExchange e = used();
            e.send(HttpMethod.GET);
            e.receive(body.substring(cut) + DUE_ERROR);
            assertThat(e.lastEnd()).isEqualTo("MALFORMED");
        }
    }

    /** Guards against losing the due response behind a whole surplus response. */
    @ParameterizedTest
    @EnumSource(Surplus.class)
    void responseBehindAWholeSurplusResponseIsDelivered(Surplus s) {
        for (Segments segments : Segments.values()) {
            EmbeddedExchange e = used();
            e.send(HttpMethod.GET);
            e.receive(s.mText + DUE_SUCCESS, segments);
            assertThat(e.lastEnd()).isEqualTo("END 200 good");
            assertThat(e.surplus(SurplusKind.OTHER_REQUEST)).isEqualTo(1);
            assertThat(e.isUsable()).isFalse();
        }
    }

    /** Guards against a body made of a part of a chunked response and of its repetition. */
    @ParameterizedTest
    @ValueSource(strings = {"5\r\nfirst\r\n6\r\nsecond\r\n", "200\r\n", "40;x=y\r\n"})
    void chunkedResponseThatStartsAgainIsNoSuccess(String start) {
        int missing = start.startsWith("5") ? 0 : start.startsWith("2") ? 0x200 : 0x40;
        String chunks = start + "a".repeat(missing) + (missing == 0 ? "" : "\r\n");
        String head = head("200 OK", "r1", "Transfer-Encoding: chunked");
        String whole = head + chunks + "0\r\n\r\n";
        // With this cut, the bytes are those of a sound response: the chunk ends where the second
        // head does, and the blank line ends the chunk.
        int sound = head.length() + start.length() + missing - (head.length() - 2);
        for (int cut = 1; cut < whole.length(); cut++) {
            if (missing > 0 && cut == sound) {
                continue;
            }
            for (Segments segments : Segments.values()) {
                EmbeddedExchange e = new EmbeddedExchange();
                e.send(HttpMethod.GET);
                e.receive(whole.substring(0, cut) + whole, segments);
                e.closeByServer();
                assertWithMessage("byte %s, %s", cut, segments)
                        .that(e.lastEnd())
                        .isEqualTo("MALFORMED");
            }
        }
    }

    /** Guards against sizes and ends of chunks that readers understand differently. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "100000004\r\nbody\r\n0\r\n\r\n",
                "100000000\r\n\r\n",
                "80000000\r\nbody",
                "-4\r\nbody\r\n0\r\n\r\n",
                "+4\r\nbody\r\n0\r\n\r\n",
                "0x4\r\nbody\r\n0\r\n\r\n",
                "4 4\r\nbody\r\n0\r\n\r\n",
                "\r\nbody\r\n0\r\n\r\n",
                ";x\r\nbody\r\n0\r\n\r\n",
                "4\r\nbodyrest\r\n0\r\n\r\n",
                "4\r\nbody0\r\n\r\n",
                "4\r\nbody\n0\r\n\r\n",
                "4\r\nbo\r\n0\r\n\r\n",
            })
    void malformedChunkMakesTheResponseMalformed(String chunks) {
        for (Segments segments : Segments.values()) {
            EmbeddedExchange e = new EmbeddedExchange();
            e.send(HttpMethod.GET);
            e.receive(head("200 OK", "r1", "Transfer-Encoding: chunked") + chunks, segments);
            assertThat(e.lastEnd()).isEqualTo("MALFORMED");
            assertThat(e.isOpen()).isFalse();
        }
    }

    // ---------------------------------------------------------------- methods

    /** Guards against the body of a late response being read as the response to a HEAD. */
    @Test
    void lateResponseWithBodyIsSkippedWhileAHeadIsActive() {
        String forged = head("200 OK", "r2", "Content-Length: 4");
        EmbeddedExchange e = used();
        e.send(HttpMethod.HEAD);
        e.receive(head("200 OK", "x", "Content-Length: " + forged.length()));
        e.receive(forged);
        assertThat(e.lastEnd()).doesNotContain("200");
    }

    /** Guards against the loss of the response to a HEAD behind a whole surplus response. */
    @Test
    void responseToAHeadBehindASurplusResponseIsDelivered() {
        EmbeddedExchange e = used();
        e.send(HttpMethod.HEAD);
        e.receive(Surplus.LENGTH.mText + head("500 Error", "r2", "Content-Length: 4"));
        assertThat(e.lastEnd()).isEqualTo("END 500");
    }

    /** Guards against a response being read by the method of a request before it. */
    @Test
    void lateResponseToAHeadIsSkippedWithoutABody() {
        EmbeddedExchange e = new EmbeddedExchange();
        e.send(HttpMethod.HEAD);
        e.receive(head("200 OK", "r1", "Content-Length: 4"));
        e.send(HttpMethod.GET);
        e.receive(head("200 OK", "r1", "Content-Length: 4") + DUE_ERROR);
        assertThat(e.lastEnd()).isEqualTo("END 500 oops");
    }

    /** Guards against guessing whether a response to an unknown request has a body. */
    @Test
    void lateResponseAfterBothMethodsIsMalformed() {
        EmbeddedExchange e = new EmbeddedExchange();
        e.send(HttpMethod.HEAD);
        e.receive(head("200 OK", "r1", "Content-Length: 4"));
        e.send(HttpMethod.GET);
        e.receive(head("200 OK", "r2", "Content-Length: 4") + "done");
        e.send(HttpMethod.GET);
        e.receive(head("200 OK", "r1", "Content-Length: 4"));
        assertThat(e.lastEnd()).isEqualTo("MALFORMED");
    }

    // ---------------------------------------------------------------- heads

    /** Guards against heads that readers understand differently. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/2.0 200 OK\r\nRequest-Id: r1\r\nContent-Length: 0\r\n\r\n",
                "HTTP/1.2 200 OK\r\nRequest-Id: r1\r\nContent-Length: 0\r\n\r\n",
                "HTTP/0.9 200 OK\r\nRequest-Id: r1\r\nContent-Length: 0\r\n\r\n",
                "http/1.1 200 OK\r\nRequest-Id: r1\r\nContent-Length: 0\r\n\r\n",
                "ICY/1.1 200 OK\r\nRequest-Id: r1\r\nContent-Length: 0\r\n\r\n",
                "HTTP/1.1  200 OK\r\nRequest-Id: r1\r\nContent-Length: 0\r\n\r\n",
                "HTTP/1.1\t200 OK\r\nRequest-Id: r1\r\nContent-Length: 0\r\n\r\n",
                " HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nContent-Length: 0\r\n\r\n",
                "\0HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nContent-Length: 0\r\n\r\n",
                "HTTP/1.1 2000 OK\r\nRequest-Id: r1\r\nContent-Length: 0\r\n\r\n",
                "HTTP/1.1 20 OK\r\nRequest-Id: r1\r\nContent-Length: 0\r\n\r\n",
                "HTTP/1.1 +20 OK\r\nRequest-Id: r1\r\nContent-Length: 0\r\n\r\n",
                "HTTP/1.1 200 OHTTP/1.1 500 Error\r\nRequest-Id: r1\r\nContent-Length: 0\r\n\r\n",
                "HTTP/1.1 200 O\rK\r\nRequest-Id: r1\r\nContent-Length: 0\r\n\r\n",
                "HTTP/1.1 200 OK\r\nno colon\r\nRequest-Id: r1\r\nContent-Length: 0\r\n\r\n",
                "HTTP/1.1 200 OK\r\nNoColon\r\nRequest-Id: r1\r\nContent-Length: 0\r\n\r\n",
                "HTTP/1.1 200 OK\r\n: no name\r\nRequest-Id: r1\r\nContent-Length: 0\r\n\r\n",
                "HTTP/1.1 200 OK\r\nX : y\r\nRequest-Id: r1\r\nContent-Length: 0\r\n\r\n",
                "HTTP/1.1 200 OK\r\nX y: z\r\nRequest-Id: r1\r\nContent-Length: 0\r\n\r\n",
                "HTTP/1.1 200 OK\r\nX/Y: z\r\nRequest-Id: r1\r\nContent-Length: 0\r\n\r\n",
                "HTTP/1.1 200 OK\r\nX: y\r\n z\r\nRequest-Id: r1\r\nContent-Length: 0\r\n\r\n",
                "HTTP/1.1 200 OK\r\nX: y\r\n\tz\r\nRequest-Id: r1\r\nContent-Length: 0\r\n\r\n",
                "HTTP/1.1 200 OK\r\nX: a\0b\r\nRequest-Id: r1\r\nContent-Length: 0\r\n\r\n",
                "HTTP/1.1 200 OK\r\nX: a\u0001b\r\nRequest-Id: r1\r\nContent-Length: 0\r\n\r\n",
                "HTTP/1.1 200 OK\r\nX: a\u007fb\r\nRequest-Id: r1\r\nContent-Length: 0\r\n\r\n",
                "HTTP/1.1 200 OK\r\nX: a\rb\r\nRequest-Id: r1\r\nContent-Length: 0\r\n\r\n",
                "HTTP/1.1 200 OK\r\nX: HTTP/1.1 500 Error\r\nRequest-Id: r1\r\n"
                        + "Content-Length: 0\r\n\r\n",
                "HTTP/1.1 200 OK\r\nX: yHTTP/1.0 500\r\nRequest-Id: r1\r\n"
                        + "Content-Length: 0\r\n\r\n",
            })
    void malformedLineMakesTheResponseMalformed(String response) {
        for (Segments segments : Segments.values()) {
            EmbeddedExchange e = new EmbeddedExchange();
            e.send(HttpMethod.GET);
            e.receive(response, segments);
            assertThat(e.lastEnd()).isEqualTo("MALFORMED");
            assertThat(e.isOpen()).isFalse();
        }
    }

    /** Guards against bodies whose end readers see in different places. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
                "Transfer-Encoding: chunked\r\nContent-Length: 15\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
                "Content-Length: 4\r\nContent-Length: 5\r\n\r\nbody!",
                "Content-Length: 4, 5\r\n\r\nbody!",
                "Content-Length: -1\r\n\r\n",
                "Content-Length: +4\r\n\r\nbody",
                "Content-Length: 0x4\r\n\r\nbody",
                "Content-Length: 99999999999999999999\r\n\r\nbody",
                "Content-Length:\r\n\r\nbody",
                "Transfer-Encoding: gzip, chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
                "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n\r\n"
                        + "4\r\nbody\r\n0\r\n\r\n",
                "Transfer-Encoding: chunked, chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
                "Transfer-Encoding: chunked, gzip\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
                "Transfer-Encoding: gzip\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
                "Transfer-Encoding: identity\r\n\r\nbody",
                "Transfer-Encoding: xchunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
                "Transfer-Encoding:\r\n\r\nbody",
            })
    void ambiguousLengthMakesTheResponseMalformed(String rest) {
        for (String version : new String[] {"HTTP/1.1", "HTTP/1.0"}) {
            EmbeddedExchange e = new EmbeddedExchange();
            e.send(HttpMethod.GET);
            e.receive(version + " 200 OK\r\nRequest-Id: r1\r\n" + rest);
            assertThat(e.lastEnd()).isEqualTo("MALFORMED");
            assertThat(e.isUsable()).isFalse();
        }
    }

    /** Guards against chunks in a version of HTTP that has none. */
    @Test
    void chunksInHttp10MakeTheResponseMalformed() {
        EmbeddedExchange e = new EmbeddedExchange();
        e.send(HttpMethod.GET);
        e.receive(
                "HTTP/1.0 200 OK\r\nRequest-Id: r1\r\nTransfer-Encoding: chunked\r\n\r\n"
                        + "4\r\nbody\r\n0\r\n\r\n");
        assertThat(e.lastEnd()).isEqualTo("MALFORMED");
    }

    /** Guards against a switch to a protocol that was not asked for. */
    @Test
    void switchOfProtocolsIsMalformed() {
        EmbeddedExchange e = new EmbeddedExchange();
        e.send(HttpMethod.GET);
        e.receive(head("101 Switching Protocols", "r1", "Upgrade: websocket"));
        assertThat(e.lastEnd()).isEqualTo("MALFORMED");
    }

    /** Guards against the body of an interim response being read as the final one. */
    @Test
    void interimResponseWithABodyIsMalformed() {
        EmbeddedExchange e = new EmbeddedExchange();
        e.send(HttpMethod.GET);
        String body = head("200 OK", "r1", "Content-Length: 0");
        e.receive("HTTP/1.1 100 Continue\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
        assertThat(e.lastEnd()).isEqualTo("MALFORMED");
    }

    /** Guards against a success whose head or body did not arrive. */
    @ParameterizedTest
    @ValueSource(strings = {"GET", "HEAD", "POST"})
    void closeWithinAResponseIsNoSuccess(String method) {
        String head = head("200 OK", "r1", "X-A: b\r\nContent-Length: 4");
        String whole = method.equals("HEAD") ? head : head + "body";
        for (int cut = 0; cut < whole.length(); cut++) {
            for (Segments segments : Segments.values()) {
                EmbeddedExchange e = new EmbeddedExchange();
                e.send(HttpMethod.valueOf(method));
                e.receive(whole.substring(0, cut), segments);
                assertWithMessage("byte %s", cut).that(e.lastEnd()).isEmpty();
                e.closeByServer();
                assertWithMessage("byte %s", cut).that(e.lastEnd()).isEqualTo("CLOSED");
            }
        }
    }

    // ---------------------------------------------------------------- sound responses

    /** Guards against closing connections whose responses are sound. */
    @ParameterizedTest
    @CsvSource({"ONE_READ", "EACH_BYTE"})
    void connectionOfSoundResponsesIsReused(Segments segments) {
        EmbeddedExchange e = new EmbeddedExchange();
        String chunks = "Transfer-Encoding: chunked";
        int n = 0;
        exchange(e, "GET", ok(++n, "Content-Length: 4") + "body", "END 200 body", segments);
        exchange(e, "GET", ok(++n, "Content-Length: 0"), "END 200", segments);
        exchange(e, "HEAD", ok(++n, "Content-Length: 9"), "END 200", segments);
        exchange(e, "HEAD", ok(++n, chunks), "END 200", segments);
        exchange(e, "HEAD", ok(++n, "X: y"), "END 200", segments);
        exchange(e, "GET", ok(++n, chunks) + "2\r\nab\r\n0\r\n\r\n", "END 200 ab", segments);
        exchange(
                e,
                "GET",
                ok(++n, chunks) + "a;x=\"y\"\r\nHTTP/1.1 5\r\n3\r\n00 \r\n0\r\nX-Sum: 1\r\n\r\n",
                "END 200 HTTP/1.1 500",
                segments);
        exchange(e, "GET", head("204 No Content", "r" + ++n, "X: y"), "END 204", segments);
        exchange(e, "GET", head("304 Not Modified", "r" + ++n, "X: y"), "END 304", segments);
        exchange(
                e,
                "POST",
                "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"
                        + ok(++n, "Content-Length: 4")
                        + "body",
                "END 200 body",
                segments);
        exchange(
                e,
                "GET",
                ok(++n, "Via: HTTP/1.1 cache\r\nX:\r\nY:\tz \u00e9\r\nContent-Length: 22")
                        + "HTTP/1.1 500 Error\r\n\r\n",
                "END 200 HTTP/1.1 500 Error",
                segments);
        exchange(
                e,
                "GET",
                "HTTP/1.1 200\r\nrequest-id:r" + ++n + "\r\ncontent-length:0\r\n\r\n",
                "END 200",
                segments);
        exchange(
                e,
                "GET",
                "\r\n" + head("404 Not Found: there is none", "r" + ++n, "Content-Length: 0"),
                "END 404",
                segments);
        exchange(
                e,
                "GET",
                "HTTP/1.0 200 OK\r\nRequest-Id: r"
                        + ++n
                        + "\r\nConnection: keep-alive\r\nContent-Length: 4\r\n\r\nbody",
                "END 200 body",
                segments);
        exchange(
                e,
                "GET",
                ok(++n, "X-Long: " + "\u00fc".repeat(20_000) + "\r\ntransfer-encoding: Chunked")
                        + "00A ; x\r\n0123456789\r\n000\r\n\r\n",
                "END 200 0123456789",
                segments);
        exchange(
                e,
                "GET",
                head("200 \u00e9\t(none) ", "r" + ++n, "X:  \t y \t\r\nContent-Length:\t4 ")
                        + "body",
                "END 200 body",
                segments);
        exchange(e, "GET", head("200 ", "r" + ++n, "Content-Length: 00"), "END 200", segments);
        for (SurplusKind k : SurplusKind.values()) {
            assertThat(e.surplus(k)).isEqualTo(0);
        }
    }

    private static String ok(int number, String fields) {
        return head("200 OK", "r" + number, fields);
    }

    private static void exchange(
            EmbeddedExchange e, String method, String response, String end, Segments segments) {
        e.send(HttpMethod.valueOf(method));
        e.receive(response, segments);
        assertWithMessage(response).that(e.lastEnd()).isEqualTo(end);
        assertWithMessage(response).that(e.isUsable()).isTrue();
    }
}
