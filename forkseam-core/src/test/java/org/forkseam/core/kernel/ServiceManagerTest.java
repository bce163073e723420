package org.forkseam.core.kernel;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import org.junit.jupiter.api.Test;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;

/** Tests the order in which services start and stop, and the stop timeout. */
class ServiceManagerTest {
    private final List<String> mEvents = new ArrayList<>();

    /** Records its start and stop. */
    private final class RecordingService implements Service {
        private final String mName;
        private final List<String> mDependencies;
        private CompletableFuture<Void> mStart = CompletableFuture.completedFuture(null);
        private CompletableFuture<Void> mStop = CompletableFuture.completedFuture(null);

        RecordingService(String name, String... dependencies) {
            mName = name;
            mDependencies = List.of(dependencies);
        }

        @Override
        public String name() {
            return mName;
        }

        @Override
        public List<String> dependencies() {
            return mDependencies;
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
    void startsInDependencyOrderAndStopsInReverse() throws Exception {
        ServiceManager manager = ServiceManager.of(1000);
        manager.add(new RecordingService("c", "b"))
                .add(new RecordingService("a"))
                .add(new RecordingService("b", "a"));
        manager.start();
        manager.stop();
        assertThat(mEvents).containsExactly("+a", "+b", "+c", "-c", "-b", "-a").inOrder();
    }

    @Test
    void failedStartStopsStartedServices() {
        ServiceManager manager = ServiceManager.of(1000);
        RecordingService b = new RecordingService("b", "a");
        b.mStart = CompletableFuture.failedFuture(new IllegalStateException("port in use"));
        manager.add(new RecordingService("a")).add(b);
        assertThrows(ExecutionException.class, manager::start);
        assertThat(mEvents).containsExactly("+a", "+b", "-a").inOrder();
    }

    @Test
    void serviceThatDoesNotStopDelaysOthersUntilTimeout() throws Exception {
        ServiceManager manager = ServiceManager.of(20);
        RecordingService b = new RecordingService("b", "a");
        b.mStop = new CompletableFuture<>();
        manager.add(new RecordingService("a")).add(b);
        manager.start();
        manager.stop();
        assertThat(mEvents).containsExactly("+a", "+b", "-b", "-a").inOrder();
    }

    @Test
    void missingDependencyIsReported() {
        ServiceManager manager = ServiceManager.of(1000).add(new RecordingService("a", "ghost"));
        assertThat(assertThrows(IllegalStateException.class, manager::start))
                .hasMessageThat()
                .contains("ghost");
    }

    @Test
    void servicesAreFoundByName() {
        RecordingService a = new RecordingService("a");
        ServiceManager manager = ServiceManager.of(1000).add(a);
        assertThat(manager.find("a", RecordingService.class)).hasValue(a);
        assertThat(manager.find("b", RecordingService.class)).isEmpty();
    }
}
