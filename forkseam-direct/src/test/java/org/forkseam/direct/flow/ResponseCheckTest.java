package org.forkseam.direct.flow;

import static com.google.common.truth.Truth.assertThat;

import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;

import org.forkseam.core.member.AvailabilitySignal;
import org.forkseam.direct.spi.ResponseHead;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

/** Tests what the head of a response counts as, for all combinations of what it shows. */
class ResponseCheckTest {
    private static final String ID = "r";

    private static HttpResponse response(int status) {
        return new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status));
    }

    /** Returns a head with the ids and signatures of the given texts, separated by '+'. */
    private static ResponseHead head(String ids, String signatures, boolean notRun, int status) {
        boolean misdirected = status == 421;
        return new ResponseHead(
                list(ids),
                list(signatures),
                Optional.empty(),
                notRun || misdirected,
                misdirected,
                Optional.empty(),
                Optional.empty(),
                OptionalLong.empty(),
                AvailabilitySignal.NONE);
    }

    private static List<String> list(String text) {
        return text.equals("-") ? List.of() : Arrays.asList(text.split("\\+", -1));
    }

    /** Guards against a response that counts as more than what it shows. */
    @ParameterizedTest
    @CsvSource({
        // status, ids, signatures, not run, counts as
        "200, r, s, false, ANSWERED",
        "204, r, s, false, ANSWERED",
        "299, r, s, false, ANSWERED",
        "302, r, -, false, ANSWERED",
        "404, r, -, false, ANSWERED",
        "404, r, s, false, ANSWERED",
        "400, r, -, false, ANSWERED",
        "500, r, -, false, FAILED",
        "599, r, s, false, FAILED",
        "408, r, s, false, FAILED",
        "429, r, s, false, FAILED",
        "503, r, s, false, FAILED",
        "400, r, -, true, REFUSED",
        "408, r, -, true, REFUSED",
        "429, r, -, true, REFUSED",
        "503, r, s, true, REFUSED",
        "421, r, -, false, WRONG_TARGET",
        "421, r, -, true, WRONG_TARGET",
        "200, r, s, true, MALFORMED",
        "302, r, s, true, MALFORMED",
        "404, r, s, true, MALFORMED",
        "500, r, s, true, MALFORMED",
        "200, r, -, false, MALFORMED",
        "200, r, '', false, MALFORMED",
        "200, r, s+t, false, MALFORMED",
        "200, r, s+s, false, MALFORMED",
        "500, r, s+t, false, MALFORMED",
        "200, r+x, s, false, MALFORMED",
        "500, x+r, s, false, MALFORMED",
        "503, r+r, -, true, MALFORMED",
        "0, r, s, false, MALFORMED",
        "99, r, s, false, MALFORMED",
        "600, r, s, false, MALFORMED",
        "2000, r, s, false, MALFORMED",
        "200, x, s, false, SKIPPED",
        "200, -, s, false, SKIPPED",
        "200, '', s, false, SKIPPED",
        "500, -, -, false, SKIPPED",
        "404, x, -, false, SKIPPED",
        "503, -, -, true, SKIPPED",
        "421, -, -, false, SKIPPED",
        "999, x, -, false, SKIPPED"
    })
    void responseCountsForWhatItShows(
            int status, String ids, String signatures, boolean notRun, String expected) {
        ResponseHead head = head(ids, signatures, notRun, status);
        Optional<AttemptResult> r = ResponseCheck.check(ID, response(status), head);
        assertThat(r.map(x -> x.kind().name()).orElse("SKIPPED")).isEqualTo(expected);
    }

    /** Guards against an encoded body, for which callers do not ask, whatever its status. */
    @ParameterizedTest
    @CsvSource({"200, false", "404, false", "500, false", "503, true"})
    void encodedResponseIsMalformed(int status, boolean notRun) {
        HttpResponse r = response(status);
        r.headers().set("content-encoding", "gzip");
        Optional<AttemptResult> result = ResponseCheck.check(ID, r, head(ID, "s", notRun, status));
        assertThat(result.map(AttemptResult::kind)).hasValue(AttemptResult.Kind.MALFORMED);
    }

    /** Guards against log lines that do not tell why a response did not count. */
    @Test
    void detailNamesTheValueAndWhatIsAllowed() {
        ResponseHead twoIds = head("r+x", "s", false, 200);
        assertThat(ResponseCheck.check(ID, response(200), twoIds).orElseThrow().detail())
                .isEqualTo("status 200, request ids [r, x], one allowed");
        ResponseHead other = head("x", "s", false, 200);
        assertThat(ResponseCheck.describeOther(response(200), other))
                .isEqualTo("status 200, request ids [x], own one required");
    }

    /** Guards against forwarding what callers take for a promise. */
    @ParameterizedTest
    @CsvSource({
        "408, true",
        "421, true",
        "429, true",
        "503, true",
        "400, false",
        "500, false",
        "504, false"
    })
    void promisesAreKnown(int status, boolean expected) {
        assertThat(ResponseCheck.isPromise(response(status))).isEqualTo(expected);
    }
}
