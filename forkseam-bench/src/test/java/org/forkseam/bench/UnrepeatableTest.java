package org.forkseam.bench;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

/** An unrepeatable request runs at most once, and "not run" is true, through every failure. */
class UnrepeatableTest extends FleetTestBase {
    private static final String PATH = "/services/gauge-api/alerts/confirm";

    @Test
    void repeatsThroughBothRoutersGetTheOneAnswer() throws Exception {
        mFleet.services().values().forEach(s -> s.faults().setDelayMillis(100));
        List<CompletableFuture<Caller.Answer>> all = new ArrayList<>();
        for (int i = 0; i < 10; i++) {
            var router = i % 2 == 0 ? mRouter1 : mRouter2;
            all.add(later(() -> call(router, PATH, "alert 7", unrepeatable("u1"))));
        }
        for (CompletableFuture<Caller.Answer> a : all) {
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
        Caller.Answer a = call(mRouter2, PATH, "alert 8", unrepeatable("u1"));
        assertThat(a.status()).isEqualTo(409);
        assertThat(a.text()).contains("different request");
        assertThat(runs("u1")).isEqualTo(1);
    }

    @Test
    void lostAnswerOfTheStoreIsSettledByReadingBack() throws Exception {
        mFleet.platform().table().loseAnswers(1);
        Caller.Answer a = call(mRouter1, PATH, "alert 7", unrepeatable("u1"));
        assertThat(a.status()).isEqualTo(200);
        assertThat(runs("u1")).isEqualTo(1);
    }

    @Test
    void storeOutageMeansNotRunAndRepeatableRequestsGoOn() throws Exception {
        mFleet.platform().table().setDown(true);
        Caller.Answer a = call(mRouter1, PATH, "alert 7", unrepeatable("u1"));
        assertThat(a.status()).isEqualTo(503);
        assertThat(a.header("outcome")).isEqualTo("not-run");
        assertThat(a.header("retry-after-ms")).isNotEmpty();
        assertThat(runs("u1")).isEqualTo(0);
        assertThat(call(mRouter1, PATH, "reading", Map.of()).status()).isEqualTo(200);
        mFleet.platform().table().setDown(false);
        assertThat(call(mRouter2, PATH, "alert 7", unrepeatable("u1")).status()).isEqualTo(200);
        assertThat(runs("u1")).isEqualTo(1);
    }

    @Test
    void ownerLostWhileRunningMeansMayHaveRunAndNeverASecondRun() throws Exception {
        mFleet.services().values().forEach(s -> s.faults().setDelayMillis(60_000));
        CompletableFuture<Caller.Answer> first =
                later(() -> call(mRouter1, PATH, "alert 7", unrepeatable("u1")));
        Waiting.until("it runs", () -> runs("u1") == 1);
        String owner =
                mFleet.services().entrySet().stream()
                        .filter(e -> e.getValue().runs("u1") == 1)
                        .findFirst()
                        .orElseThrow()
                        .getKey();
        mFleet.killSidecar(owner);
        assertThat(first.get().header("outcome")).isEqualTo("may-have-run");
        mFleet.services().values().forEach(s -> s.faults().setDelayMillis(0));
        Caller.Answer again = call(mRouter2, PATH, "alert 7", unrepeatable("u1"));
        assertThat(again.header("outcome")).isEqualTo("may-have-run");
        assertThat(runs("u1")).isEqualTo(1);
    }

    @Test
    void targetThatIsDownIsNotRunAndAnotherTakesTheClaimOver() throws Exception {
        mFleet.services().get("gauge-01").kill();
        for (int i = 0; i < 8; i++) {
            Caller.Answer a = call(mRouter1, PATH, "alert " + i, unrepeatable("u" + i));
            assertThat(a.status()).isEqualTo(200);
            assertThat(runs("u" + i)).isEqualTo(1);
        }
    }

    @Test
    void callerWhoHangsUpFindsTheAnswerWhenItComesBack() throws Exception {
        mFleet.services().values().forEach(s -> s.faults().setDelayMillis(300));
        later(() -> call(mRouter1, PATH, "alert 7", unrepeatable("u1")));
        Waiting.until("it runs", () -> runs("u1") == 1);
        mFleet.killRouter("entry-1");
        Caller.Answer a = call(mRouter2, PATH, "alert 7", unrepeatable("u1"));
        assertThat(a.status()).isEqualTo(200);
        assertThat(runs("u1")).isEqualTo(1);
    }
}
