package org.forkseam.bench;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static java.nio.charset.StandardCharsets.UTF_8;

import org.forkseam.daemon.Daemon;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import java.io.InputStream;
import java.net.Socket;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

/** Guards request serving without faults, and the handling of malformed requests. */
class ServingTest extends FleetTestBase {
    private static final String CALLS = "/services/gauge-api/";
    private static final String ASK = "{\"stream_options\":{\"include_usage\":true},";

    @Test
    void streamedAndUnstreamedResponsesAreExact() throws Exception {
        assertComplete(chat(mRouter1, "a", true, Map.of()), "a");
        assertComplete(chat(mRouter2, "b", false, Map.of()), "b");
    }

    @Test
    void chatReturnsToItsTargetThroughEitherRouter() throws Exception {
        RouterClient.Response first = chat(mRouter1, "a", true, Map.of("Chat-Id", "c1"));
        RouterClient.Response second =
                chat(
                        mRouter2,
                        "a",
                        false,
                        Map.of("Chat-Id", "c1", "Ticket", first.header("ticket")));
        assertThat(second.header("target")).isEqualTo(first.header("target"));
        assertThat(second.header("why")).isEqualTo("ticket");
        assertThat(Integer.parseInt(second.header("reused-tokens"))).isGreaterThan(30);
    }

    @Test
    void modelsAreListed() throws Exception {
        RouterClient.Response a =
                mClient.send(mRouter1.callersAddress(), "GET", "/v1/models", "", Map.of());
        assertThat(a.status()).isEqualTo(200);
        assertThat(a.text()).contains("\"id\":\"forecast-lm\"");
    }

    @Test
    void quotaHoldsAcrossRoutersAndFollowsTheTraffic() throws Exception {
        mCli.apply("[team loud]\nrequests-per-second = 20\nburst = 2\n");
        waitForConfig(2);
        Await.until(
                "one router is granted most of the quota",
                () -> {
                    int served = 0;
                    for (int i = 0; i < 100; i++) {
                        served += callAsLoudTeam(mRouter1) == 200 ? 1 : 0;
                        Thread.sleep(10);
                    }
                    return served > 12;
                });
        RouterClient.Response refused = null;
        while (refused == null || refused.status() == 200) {
            refused = call(mRouter1, CALLS, "x", Map.of("Team", "loud"));
        }
        assertThat(refused.status()).isEqualTo(429);
        assertThat(refused.header("outcome")).isEqualTo("not-run");
        assertThat(refused.header("retry-after-ms")).isNotEmpty();
        assertThat(call(mRouter1, CALLS, "x", Map.of("Team", "quiet")).status()).isEqualTo(200);
    }

    private int callAsLoudTeam(Daemon router) throws InterruptedException {
        return call(router, CALLS, "x", Map.of("Team", "loud")).status();
    }

    @Test
    void usageGoesOnlyToCallersWhoAskedForIt() throws Exception {
        String plain = body("a", 4, true);
        String asking = ASK + plain.substring(1);
        assertThat(postRaw(plain)).doesNotContain("usage");
        assertThat(postRaw(asking)).contains("cached_tokens");
    }

    private String postRaw(String body) throws Exception {
        String head =
                "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n"
                        + "Connection: close\r\nContent-Length: "
                        + body.length()
                        + "\r\n\r\n";
        return exchange(head + body);
    }

    private String exchange(String request) throws Exception {
        try (Socket s = new Socket()) {
            s.connect(mRouter1.callersAddress());
            s.setSoTimeout(20_000);
            s.getOutputStream().write(request.getBytes(UTF_8));
            InputStream in = s.getInputStream();
            return new String(in.readAllBytes(), UTF_8);
        }
    }

    @ParameterizedTest
    @CsvSource({"GET", "POST", "PUT", "DELETE", "PATCH"})
    void serviceGetsAnyMethodAndPath(String method) throws Exception {
        RouterClient.Response a =
                mClient.send(
                        mRouter1.callersAddress(),
                        method,
                        "/services/gauge-api/stations/12/raw?from=1&to=2",
                        "{x}",
                        Map.of("Team", "coop"));
        assertThat(a.status()).isEqualTo(200);
        assertThat(a.text()).isEqualTo(method + " /stations/12/raw?from=1&to=2 {x}");
        assertThat(a.header("outcome")).isEqualTo("answered");
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "CHAT|{}|-|400|messages",
                "CHAT|not json|-|400|JSON",
                "CHAT|{\"messages\":[{\"content\":\"x\"}]}|-|400|model",
                "CHAT|[]|-|400|JSON object",
                "/elsewhere|{}|-|404|allowed",
                "/services/no%20name/|{}|-|400|allowed",
                "/services/unknown/x|{}|-|404|no routing intent",
                "CALL|{}|Deadline-Ms=soon|400|whole number",
                "CALL|{}|Priority=10|400|from 0 to 9",
                "CALL|{}|Request-Id=a b|400|1 to 128",
                "CALL|{}|Unrepeatable=perhaps|400|true or false",
                "CALL|{}|Unrepeatable=true|400|Request-Id",
                "CALL|{}|Issued-At-Ms=now|400|milliseconds",
                "CALL|{}|Labels=x|400|name=value",
            })
    void badRequestNamesWhatIsAllowed(
            String path, String body, String header, int status, String message) throws Exception {
        Map<String, String> headers =
                header.equals("-")
                        ? Map.of()
                        : Map.of(header.split("=", 2)[0], header.split("=", 2)[1]);
        String at = path.replace("CHAT", "/v1/chat/completions").replace("CALL", CALLS);
        RouterClient.Response a = call(mRouter1, at, body, headers);
        assertWithMessage(a.text()).that(a.status()).isEqualTo(status);
        assertThat(a.text()).contains(message);
        assertThat(a.text()).doesNotContain("Exception");
        assertThat(a.header("outcome")).isEqualTo("not-run");
    }

    @ParameterizedTest
    @CsvSource({
        "'GARBAGE\r\n\r\n'",
        "'POST /v1/chat/completions HTTP/1.1\r\nContent-Length: -5\r\n\r\n'",
        "'GET / HTTP/9.9\r\n\r\n'",
        "'POST /v1/chat/completions HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n'"
    })
    void malformedHttpIsAnsweredOrClosed(String request) throws Exception {
        String answer = exchange(request.replace("\\r", "\r").replace("\\n", "\n"));
        assertThat(answer).doesNotContain("Exception");
        assertThat(answer).doesNotContain(" 200 ");
        assertComplete(chat(mRouter1, "a", true, Map.of()), "a");
    }

    @Test
    void serviceReceivesOnlyCallersRequests() throws Exception {
        Await.until(
                "engines are asked for their cache events",
                () -> mFleet.engines().values().stream().allMatch(e -> e.requests() > 1));
        mFleet.services().values().forEach(s -> assertThat(s.faults().requests()).isEqualTo(0));
    }

    @Test
    void oversizedBodyIsRefused() throws Exception {
        RouterClient.Response a =
                call(mRouter1, "/services/gauge-api/x", "x".repeat(5 << 20), Map.of());
        assertThat(a.status() == 413 || a.status() == 400 || a.status() == 0).isTrue();
        assertComplete(chat(mRouter1, "a", true, Map.of()), "a");
    }

    @Test
    void slowSenderIsClosedAndLongStreamIsNot() throws Exception {
        try (Socket s = new Socket()) {
            s.connect(mRouter1.callersAddress());
            s.setSoTimeout(20_000);
            s.getOutputStream().write("POST /v1/chat/completions HTTP/1.1\r\n".getBytes(UTF_8));
            CompletableFuture<RouterClient.Response> stream =
                    callAsync(
                            () ->
                                    mClient.chat(
                                            mRouter1.callersAddress(),
                                            body("long", 400, true),
                                            Map.of()));
            assertThat(s.getInputStream().read()).isEqualTo(-1);
            assertThat(stream.get().text()).isEqualTo(expected("long", 400));
            assertThat(stream.get().complete()).isTrue();
        }
    }

    @Test
    void slowReaderAppliesBackPressureToTheWholePath() throws Exception {
        int tokens = 150_000;
        try (Socket s = new Socket()) {
            s.setReceiveBufferSize(16 << 10);
            s.connect(mRouter1.callersAddress());
            s.setSoTimeout(30_000);
            String body = "{\"speed\":0," + body("deaf", tokens, true).substring(1);
            String head = "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nConnection: close\r\n";
            String length = "Content-Length: " + body.length() + "\r\n\r\n";
            s.getOutputStream().write((head + length + body).getBytes(UTF_8));
            double[] last = {-1};
            Await.until(
                    "the sidecars have stopped sending",
                    () -> {
                        Thread.sleep(300);
                        double now = bytesSentBySidecars();
                        boolean still = now > 100_000 && now == last[0];
                        last[0] = now;
                        return still;
                    });
            assertThat(last[0]).isLessThan(10e6);
            String all = new String(s.getInputStream().readAllBytes(), UTF_8);
            assertThat(all).contains("[DONE]");
            assertThat(bytesSentBySidecars()).isGreaterThan(15e6);
        }
    }

    private double bytesSentBySidecars() {
        double sum = 0;
        for (String t : List.of("lm-01", "lm-02", "lm-03")) {
            var counter = mFleet.sidecar(t).registry().get("forkseam.data.bytes");
            sum += counter.functionCounter().count();
        }
        return sum;
    }
}
