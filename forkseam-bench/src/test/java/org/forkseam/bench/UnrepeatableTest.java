package org.forkseam.bench;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

/** Guards against unrepeatable requests that run twice or are wrongly reported as not run. */
class UnrepeatableTest extends FleetTestBase {
    private static final String PATH = "/services/gauge-api/alerts/confirm";

    @Test
    void repeatsThroughBothRoutersReturnTheSameResponse() throws Exception {
        mFleet.services().values().forEach(s -> s.faults().setDelayMillis(100));
        List<CompletableFuture<RouterClient.Response>> all = new ArrayList<>();
        for (int i = 0; i < 10; i++) {
            var router = i % 2 == 0 ? mRouter1 : mRouter2;
            all.add(callAsync(() -> call(router, PATH, "alert 7", unrepeatable("u1"))));
        }
        for (CompletableFuture<RouterClient.Response> a : all) {
            assertThat(a.get().status()).isEqualTo(200);
            assertThat(a.get().text()).contains("alert 7");
        }
        assertThat(runs("u1")).isEqualTo(1);
        assertThat(call(mRouter2, PATH, "alert 7", unrepeatable("u1")).status()).isEqualTo(200);
        assertThat(runs("u1")).isEqualTo(1);
    }

    @Test
    void sameIdForAnotherRequestIsRefused() throws Exception {
        call(mRouter1, PATH, "alert 7", unrepeatable("u1"));
        RouterClient.Response a = call(mRouter2, PATH, "alert 8", unrepeatable("u1"));
        assertThat(a.status()).isEqualTo(409);
        assertThat(a.text()).contains("different request");
        assertThat(runs("u1")).isEqualTo(1);
    }

    @Test
    void lostStoreResponseIsResolvedByReadingBack() throws Exception {
        mFleet.platform().tableFaults().loseResponses(1);
        RouterClient.Response a = call(mRouter1, PATH, "alert 7", unrepeatable("u1"));
        assertThat(a.status()).isEqualTo(200);
        assertThat(runs("u1")).isEqualTo(1);
    }

    @Test
    void storeOutageReportsNotRunAndRepeatableRequestsAreServed() throws Exception {
        mFleet.platform().tableFaults().setDown(true);
        RouterClient.Response a = call(mRouter1, PATH, "alert 7", unrepeatable("u1"));
        assertThat(a.status()).isEqualTo(503);
        assertThat(a.header("outcome")).isEqualTo("not-run");
        assertThat(a.header("retry-after-ms")).isNotEmpty();
        assertThat(runs("u1")).isEqualTo(0);
        assertThat(call(mRouter1, PATH, "reading", Map.of()).status()).isEqualTo(200);
        mFleet.platform().tableFaults().setDown(false);
        assertThat(call(mRouter2, PATH, "alert 7", unrepeatable("u1")).status()).isEqualTo(200);
        assertThat(runs("u1")).isEqualTo(1);
    }

    @Test
    void ownerLostWhileRunningReportsMayHaveRunAndNeverRunsAgain() throws Exception {
        mFleet.services().values().forEach(s -> s.faults().setDelayMillis(60_000));
        CompletableFuture<RouterClient.Response> first =
                callAsync(() -> call(mRouter1, PATH, "alert 7", unrepeatable("u1")));
        Await.until("it runs", () -> runs("u1") == 1);
        String owner =
                mFleet.services().entrySet().stream()
                        .filter(e -> e.getValue().runs("u1") == 1)
                        .findFirst()
                        .orElseThrow()
                        .getKey();
        mFleet.killSidecar(owner);
        assertThat(first.get().header("outcome")).isEqualTo("may-have-run");
        mFleet.services().values().forEach(s -> s.faults().setDelayMillis(0));
        RouterClient.Response again = call(mRouter2, PATH, "alert 7", unrepeatable("u1"));
        assertThat(again.header("outcome")).isEqualTo("may-have-run");
        assertThat(runs("u1")).isEqualTo(1);
    }

    @Test
    void unreachableTargetReportsNotRunAndAnotherTakesOverTheClaim() throws Exception {
        mFleet.services().get("gauge-01").kill();
        for (int i = 0; i < 8; i++) {
            RouterClient.Response a = call(mRouter1, PATH, "alert " + i, unrepeatable("u" + i));
            assertThat(a.status()).isEqualTo(200);
            assertThat(runs("u" + i)).isEqualTo(1);
        }
    }

    @Test
    void disconnectedCallerGetsTheResponseOnReconnect() throws Exception {
        mFleet.services().values().forEach(s -> s.faults().setDelayMillis(300));
        callAsync(() -> call(mRouter1, PATH, "alert 7", unrepeatable("u1")));
        Await.until("it runs", () -> runs("u1") == 1);
        mFleet.killRouter("entry-1");
        RouterClient.Response a = call(mRouter2, PATH, "alert 7", unrepeatable("u1"));
        assertThat(a.status()).isEqualTo(200);
        assertThat(runs("u1")).isEqualTo(1);
    }
}
