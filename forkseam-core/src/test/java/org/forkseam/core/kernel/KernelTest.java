package org.forkseam.core.kernel;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import org.junit.jupiter.api.Test;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;

/** Services start in the order of their needs and stop in reverse, within a bounded time. */
class KernelTest {
    private final List<String> mEvents = new ArrayList<>();

    /** Notes its start and stop. */
    private final class Noting implements Service {
        private final String mName;
        private final List<String> mNeeds;
        private CompletableFuture<Void> mStart = CompletableFuture.completedFuture(null);
        private CompletableFuture<Void> mStop = CompletableFuture.completedFuture(null);

        Noting(String name, String... needs) {
            mName = name;
            mNeeds = List.of(needs);
        }

        @Override
        public String name() {
            return mName;
        }

        @Override
        public List<String> needs() {
            return mNeeds;
        }

        @Override
        public CompletableFuture<Void> start() {
            mEvents.add("+" + mName);
            return mStart;
        }

        @Override
        public CompletableFuture<Void> stop() {
            mEvents.add("-" + mName);
            return mStop;
        }
    }

    @Test
    void startsByNeedsAndStopsInReverse() throws Exception {
        Kernel k = Kernel.of(1000);
        k.add(new Noting("c", "b")).add(new Noting("a")).add(new Noting("b", "a"));
        k.start();
        k.stop();
        assertThat(mEvents).containsExactly("+a", "+b", "+c", "-c", "-b", "-a").inOrder();
    }

    @Test
    void failedStartStopsWhatHadStarted() {
        Kernel k = Kernel.of(1000);
        Noting b = new Noting("b", "a");
        b.mStart = CompletableFuture.failedFuture(new IllegalStateException("port in use"));
        k.add(new Noting("a")).add(b);
        assertThrows(ExecutionException.class, k::start);
        assertThat(mEvents).containsExactly("+a", "+b", "-a").inOrder();
    }

    @Test
    void serviceThatDoesNotStopDelaysTheOthersOnlySoLong() throws Exception {
        Kernel k = Kernel.of(20);
        Noting b = new Noting("b", "a");
        b.mStop = new CompletableFuture<>();
        k.add(new Noting("a")).add(b);
        k.start();
        k.stop();
        assertThat(mEvents).containsExactly("+a", "+b", "-b", "-a").inOrder();
    }

    @Test
    void absentNeedIsNamed() {
        Kernel k = Kernel.of(1000).add(new Noting("a", "ghost"));
        assertThat(assertThrows(IllegalStateException.class, k::start))
                .hasMessageThat()
                .contains("ghost");
    }

    @Test
    void servicesFindEachOtherByName() {
        Noting a = new Noting("a");
        Kernel k = Kernel.of(1000).add(a);
        assertThat(k.find("a", Noting.class)).hasValue(a);
        assertThat(k.find("b", Noting.class)).isEmpty();
    }
}
