package org.forkseam.standin;

import static com.google.common.truth.Truth.assertThat;

import io.activej.eventloop.Eventloop;

import org.forkseam.core.label.Labels;
import org.forkseam.core.member.HostEntry;
import org.forkseam.platform.Row;
import org.forkseam.platform.TxnResult;
import org.forkseam.platform.WeightStore;
import org.forkseam.platform.Write;
import org.forkseam.platform.http.HttpHostList;
import org.forkseam.platform.http.HttpObjectStore;
import org.forkseam.platform.http.HttpTableService;
import org.forkseam.platform.http.HttpWeightStore;
import org.forkseam.platform.http.PlatformHttpClient;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.function.Supplier;

/** Guards the contracts of the platform clients over HTTP, including faults of the services. */
class PlatformContractTest {
    private PlatformStandin mPlatform;
    private Eventloop mLoop;
    private Thread mThread;
    private PlatformHttpClient mHttp;
    private HttpTableService mTable;

    /** Faults of a service. */
    private enum Fault {
        DOWN,
        TOO_SLOW;

        void inject(FaultInjection f) {
            f.setDown(this == DOWN);
            f.setDelayMillis(this == TOO_SLOW ? 5_000 : 0);
        }
    }

    @BeforeEach
    void start() throws Exception {
        mPlatform = PlatformStandin.start();
        mLoop = Eventloop.builder().build();
        mLoop.keepAlive(true);
        mThread = new Thread(mLoop, "client");
        mThread.start();
        mHttp = PlatformHttpClient.of(mLoop, Duration.ofMillis(300));
        mTable = HttpTableService.of(mHttp, mPlatform.tableUrl());
    }

    @AfterEach
    void stop() throws Exception {
        mLoop.execute(
                () -> {
                    mHttp.stop();
                    mLoop.keepAlive(false);
                    mLoop.breakEventloop();
                });
        mThread.join();
        mPlatform.stop();
    }

    private <T> T runOnLoop(Supplier<CompletableFuture<T>> call)
            throws InterruptedException, ExecutionException {
        CompletableFuture<T> done = new CompletableFuture<>();
        mLoop.execute(
                () ->
                        call.get()
                                .whenComplete(
                                        (v, e) -> {
                                            if (e == null) {
                                                done.complete(v);
                                            } else {
                                                done.completeExceptionally(e);
                                            }
                                        }));
        return done.get();
    }

    private TxnResult write(Write... writes) throws Exception {
        return runOnLoop(() -> mTable.transact(List.of(writes)));
    }

    @Test
    void secondInsertConflictsAndReturnsTheExistingRow() throws Exception {
        assertThat(write(Write.insert("a", "1"))).isInstanceOf(TxnResult.Applied.class);
        TxnResult second = write(Write.insert("a", "2"));
        assertThat(((TxnResult.Conflict) second).rows().get(0).value()).isEqualTo("1");
        assertThat(runOnLoop(() -> mTable.get("a")).orElseThrow().value()).isEqualTo("1");
        assertThat(runOnLoop(() -> mTable.get("b"))).isEmpty();
    }

    @Test
    void replaceNeedsTheRevision() throws Exception {
        write(Write.insert("a", "1"));
        Row row = runOnLoop(() -> mTable.get("a")).orElseThrow();
        assertThat(write(Write.replace("a", "2", row.revision())))
                .isInstanceOf(TxnResult.Applied.class);
        assertThat(write(Write.replace("a", "3", row.revision())))
                .isInstanceOf(TxnResult.Conflict.class);
    }

    @Test
    void transactionIsAllOrNothing() throws Exception {
        write(Write.insert("a", "1"));
        assertThat(write(Write.insert("b", "1"), Write.insert("a", "2")))
                .isInstanceOf(TxnResult.Conflict.class);
        assertThat(runOnLoop(() -> mTable.get("b"))).isEmpty();
    }

    @Test
    void scanPagesThroughAPrefixInOrder() throws Exception {
        for (int i = 9; i >= 0; i--) {
            write(Write.put("p/" + i, "v" + i));
        }
        write(Write.put("q", "other"), Write.delete("p/3"));
        List<Row> first = runOnLoop(() -> mTable.scan("p/", "", 4));
        assertThat(first.stream().map(Row::key).toList())
                .containsExactly("p/0", "p/1", "p/2", "p/4")
                .inOrder();
        List<Row> rest = runOnLoop(() -> mTable.scan("p/", "p/4", 100));
        assertThat(rest.stream().map(Row::key).toList())
                .containsExactly("p/5", "p/6", "p/7", "p/8", "p/9")
                .inOrder();
    }

    @Test
    void lostResponseIsUnknownThoughTheWriteTookEffect() throws Exception {
        mPlatform.tableFaults().loseResponses(1);
        assertThat(write(Write.insert("a", "1"))).isInstanceOf(TxnResult.Unknown.class);
        assertThat(runOnLoop(() -> mTable.get("a"))).isPresent();
    }

    @ParameterizedTest
    @EnumSource(Fault.class)
    void tableFaultMakesWritesUnknownAndReadsFail(Fault fault) throws Exception {
        fault.inject(mPlatform.tableFaults());
        assertThat(write(Write.insert("a", "1"))).isInstanceOf(TxnResult.Unknown.class);
        assertFails(() -> mTable.get("a"));
        assertFails(() -> mTable.scan("a", "", 1));
    }

    private void assertFails(Supplier<CompletableFuture<?>> call) throws Exception {
        CompletableFuture<Throwable> failure = new CompletableFuture<>();
        mLoop.execute(() -> call.get().whenComplete((v, e) -> failure.complete(e)));
        assertThat(failure.get().toString()).contains("PlatformException");
    }

    @Test
    void objectsRoundTrip() throws Exception {
        HttpObjectStore s = HttpObjectStore.of(mHttp, mPlatform.bucketUrl());
        byte[] data = "snapshot".getBytes(StandardCharsets.UTF_8);
        assertThat(runOnLoop(() -> s.get("k/1"))).isEmpty();
        runOnLoop(() -> s.put("k/1", data));
        assertThat(runOnLoop(() -> s.get("k/1")).orElseThrow()).isEqualTo(data);
        runOnLoop(() -> s.delete("k/1"));
        runOnLoop(() -> s.delete("k/1"));
        assertThat(runOnLoop(() -> s.get("k/1"))).isEmpty();
    }

    @ParameterizedTest
    @EnumSource(Fault.class)
    void objectStoreFaultFailsTheFuture(Fault fault) throws Exception {
        HttpObjectStore s = HttpObjectStore.of(mHttp, mPlatform.bucketUrl());
        fault.inject(mPlatform.objectStoreFaults());
        assertFails(() -> s.get("k"));
        assertFails(() -> s.put("k", new byte[1]));
    }

    @Test
    void hostListMarksLeavingHosts() throws Exception {
        HttpHostList l = HttpHostList.of(mHttp, mPlatform.hostsUrl());
        Labels labels = Labels.of(Map.of("role", "router", "failure-domain", "a"));
        mPlatform.putHost(new HostEntry("h1", "127.0.0.1:1", false, labels));
        mPlatform.putHost(new HostEntry("h2", "127.0.0.1:2", true, labels));
        assertThat(runOnLoop(l::read))
                .containsExactly(
                        new HostEntry("h1", "127.0.0.1:1", false, labels),
                        new HostEntry("h2", "127.0.0.1:2", true, labels));
    }

    /** Guards against changes that are only posted to the loop and missed by the next read. */
    @Test
    void hostListChangeIsVisibleInTheNextRead() throws Exception {
        HttpHostList l = HttpHostList.of(mHttp, mPlatform.hostsUrl());
        for (int i = 0; i < 300; i++) {
            mPlatform.putHost(new HostEntry("h1", "127.0.0.1:1", false, Labels.empty()));
            assertThat(runOnLoop(l::read)).hasSize(1);
            mPlatform.removeHost("h1");
            assertThat(runOnLoop(l::read)).isEmpty();
        }
    }

    @Test
    void unchangedHostListIsNotTransferredAgain() throws Exception {
        HttpHostList l = HttpHostList.of(mHttp, mPlatform.hostsUrl());
        mPlatform.putHost(new HostEntry("h1", "127.0.0.1:1", false, Labels.empty()));
        List<HostEntry> first = runOnLoop(l::read);
        assertThat(runOnLoop(l::read)).isSameInstanceAs(first);
        mPlatform.removeHost("h1");
        assertThat(runOnLoop(l::read)).isEmpty();
    }

    @ParameterizedTest
    @EnumSource(Fault.class)
    void hostListFaultFailsTheFuture(Fault fault) throws Exception {
        HttpHostList l = HttpHostList.of(mHttp, mPlatform.hostsUrl());
        fault.inject(mPlatform.hostListFaults());
        assertFails(l::read);
    }

    @Test
    void weightStoreGrantsUpToItsRateLimit() throws Exception {
        HttpWeightStore w = HttpWeightStore.of(mHttp, mPlatform.weightsUrl());
        mPlatform.setWeightPermits(1);
        assertThat(runOnLoop(() -> w.requestPermit("lm-2")))
                .isInstanceOf(WeightStore.Permit.Granted.class);
        WeightStore.Permit p = runOnLoop(() -> w.requestPermit("lm-2"));
        assertThat(((WeightStore.Permit.RateLimited) p).retryAfterMillis()).isEqualTo(1000);
    }
}
