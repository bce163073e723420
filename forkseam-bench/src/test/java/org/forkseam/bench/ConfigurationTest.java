package org.forkseam.bench;

import static com.google.common.truth.Truth.assertThat;

import org.forkseam.daemon.Daemon;
import org.junit.jupiter.api.Test;

import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

/** An accepted configuration is in force everywhere and stays, whoever races and whatever fails. */
class ConfigurationTest extends FleetTestBase {
    private static double version(Daemon d) {
        return d.registry().get("forkseam.config.version").gauge().value();
    }

    @Test
    void ofTwoRacingOperatorsOneIsShownTheOthersChange() throws Exception {
        Operator other = Operator.of(mRouter2);
        CompletableFuture<Operator.Result> a =
                CompletableFuture.supplyAsync(() -> mOperator.run("label", "team", "t1", "x=a"));
        CompletableFuture<Operator.Result> b =
                CompletableFuture.supplyAsync(() -> other.run("label", "team", "t2", "x=b"));
        int won = (a.get().code() == 0 ? 1 : 0) + (b.get().code() == 0 ? 1 : 0);
        assertThat(won).isAtLeast(1);
        if (won == 1) {
            Operator.Result lost = a.get().code() == 0 ? b.get() : a.get();
            assertThat(lost.code()).isEqualTo(1);
            assertThat(lost.out()).contains("conflict");
            assertThat(lost.out()).contains("[team t");
        }
    }

    @Test
    void staleBaseIsRefusedAndNothingChanges() throws Exception {
        mOperator.run("label", "team", "t1", "x=a");
        Path f = Files.createTempFile("c", ".ini");
        Files.writeString(f, "[team t9]\nweight = 2\n");
        Operator.Result r = mOperator.run("apply", "-f", f.toString(), "--base", "1");
        assertThat(r.code()).isEqualTo(1);
        assertThat(r.out()).contains("latest version is 2");
        assertThat(mOperator.run("get", "teams").out()).doesNotContain("t9");
    }

    @Test
    void lostAnswerOfTheStoreDoesNotHideThatTheChangeWasAccepted() throws Exception {
        mFleet.platform().table().loseAnswers(1);
        Operator.Result r = mOperator.run("label", "team", "t1", "x=a");
        assertThat(r.out()).contains("accepted version 2");
        waitForConfig(2);
    }

    @Test
    void acceptedChangeReachesAllThoughTheStoreFailsRightAfter() throws Exception {
        assertThat(mOperator.run("label", "team", "t1", "x=a").code()).isEqualTo(0);
        mFleet.platform().table().setDown(true);
        waitForConfig(2);
    }

    @Test
    void storeOutageRefusesChangesAndServesOn() throws Exception {
        mFleet.platform().table().setDown(true);
        Operator.Result r = mOperator.run("label", "team", "t1", "x=a");
        assertThat(r.code()).isEqualTo(1);
        assertThat(r.out()).contains("not written");
        assertWhole(chat(mRouter1, "a", true, Map.of()), "a");
        assertThat(version(mRouter1)).isEqualTo(1);
    }

    @Test
    void daemonStartedWhileTheStoreIsDownLearnsFromItsPeers() throws Exception {
        mFleet.platform().table().setDown(true);
        mFleet.platform().objects().setDown(true);
        InetSocketAddress address = mFleet.sidecar("lm-01").wireAddress();
        mFleet.killSidecar("lm-01");
        Daemon d = mFleet.restartSidecar("lm-01", address);
        Waiting.until("it has the configuration", () -> version(d) == 1);
        Daemon r = mFleet.addRouter("entry-3", "hall-c", "std");
        Waiting.until("a new router has it too", () -> version(r) == 1);
        assertWhole(chat(r, "a", true, Map.of()), "a");
    }

    @Test
    void changedSelectorIsWhatRuns() throws Exception {
        mOperator.run("label", "target", "lm-03", "tier=canary");
        Operator.Result r =
                mOperator.apply("[pool lm]\nselector = model=forecast-lm,tier=canary\n");
        assertThat(r.out()).contains("accepted");
        waitForConfig(3);
        for (int i = 0; i < 6; i++) {
            assertThat(chat(mRouter2, "n" + i, false, Map.of()).header("target"))
                    .isEqualTo("lm-03");
        }
        assertThat(mOperator.run("config", "rollback", "1").code()).isEqualTo(0);
        waitForConfig(4);
        assertThat(mOperator.run("get", "pools", "lm").out()).doesNotContain("canary");
    }

    @Test
    void poolThatWouldBecomeEmptyIsRefused() throws Exception {
        Operator.Result r = mOperator.apply("[pool lm]\nselector = model=none\n");
        assertThat(r.code()).isEqualTo(1);
        assertThat(r.out()).contains("[pool lm] selector = model=none: allowed");
        assertThat(version(mRouter1)).isEqualTo(1);
    }
}
