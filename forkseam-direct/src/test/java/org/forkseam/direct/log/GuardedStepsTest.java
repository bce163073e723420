package org.forkseam.direct.log;

import static com.google.common.truth.Truth.assertThat;

import io.netty.channel.DefaultEventLoop;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.slf4j.LoggerFactory;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.read.ListAppender;

/** Tests that an exception in periodic work is logged and does not end that work. */
class GuardedStepsTest {
    private static final long WAIT_SECONDS = 10;

    private final Logger mLogger = (Logger) LoggerFactory.getLogger("forkseam");
    private final ListAppender<ILoggingEvent> mLines = new ListAppender<>();
    private long mNow = 10_000;
    private final GuardedSteps mSteps = GuardedSteps.of(() -> mNow);

    @BeforeEach
    void setUp() {
        mLines.start();
        mLogger.addAppender(mLines);
    }

    @AfterEach
    void tearDown() {
        mLogger.detachAppender(mLines);
    }

    private static void fail() {
        throw new IllegalStateException("broken");
    }

    private List<ILoggingEvent> lines() {
        return mLines.list.stream().filter(l -> l.getMessage().equals("step_failed")).toList();
    }

    /** Guards against an event loop that drops a periodic task for good after an exception. */
    @Test
    void periodicTaskGoesOnAfterAnException() throws Exception {
        DefaultEventLoop loop = new DefaultEventLoop();
        CountDownLatch runs = new CountDownLatch(3);
        Runnable task =
                mSteps.guard(
                        "tick",
                        () -> {
                            runs.countDown();
                            fail();
                        });
        loop.scheduleAtFixedRate(task, 1, 1, TimeUnit.MILLISECONDS);
        assertThat(runs.await(WAIT_SECONDS, TimeUnit.SECONDS)).isTrue();
        loop.shutdownGracefully(0, 0, TimeUnit.SECONDS).sync();
    }

    @Test
    void failureIsLoggedAsAnErrorWithItsStackTrace() {
        mSteps.run("queue", GuardedStepsTest::fail);
        assertThat(lines()).hasSize(1);
        ILoggingEvent line = lines().get(0);
        assertThat(line.getLevel()).isEqualTo(Level.ERROR);
        String text = new String(new JsonLineEncoder().encode(line), StandardCharsets.UTF_8);
        assertThat(text).contains("\"step\":\"queue\"");
        assertThat(text).contains("IllegalStateException: broken");
        assertThat(text).contains("GuardedStepsTest.fail(GuardedStepsTest.java:");
    }

    /** Also an error must not end periodic work without a line. */
    @Test
    void errorIsLogged() {
        mSteps.run(
                "queue",
                () -> {
                    throw new AssertionError("broken");
                });
        assertThat(lines()).hasSize(1);
    }

    /** Guards against a flood of lines by a step that fails at each tick, and against silence. */
    @Test
    void repeatedFailuresAreLoggedOnceASecondForEachStep() {
        for (int i = 0; i < 200; i++) {
            mSteps.run("queue", GuardedStepsTest::fail);
            mNow += 10;
        }
        mSteps.run("draining", GuardedStepsTest::fail);
        assertThat(lines()).hasSize(3);
        assertThat(mSteps.failureCount()).isEqualTo(201);
        String second =
                new String(new JsonLineEncoder().encode(lines().get(1)), StandardCharsets.UTF_8);
        assertThat(second).contains("\"not_logged\":99");
    }
}
