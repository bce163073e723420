package org.forkseam.direct.log;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.classic.spi.LoggingEvent;
import ch.qos.logback.classic.util.LogbackMDCAdapter;
import ch.qos.logback.core.AppenderBase;

/** Tests that a full queue neither blocks nor loses events without counting them. */
class BoundedAsyncAppenderTest {
    private static final int EVENTS_OVER_CAPACITY = 1_500;
    private static final long WAIT_SECONDS = 5;

    private final LoggerContext mContext = new LoggerContext();

    @BeforeEach
    void setUp() {
        mContext.setMDCAdapter(new LogbackMDCAdapter());
    }

    /** Collects messages after the latch is released. */
    private static final class SlowOutput extends AppenderBase<ILoggingEvent> {
        private final List<String> mLines = new CopyOnWriteArrayList<>();
        private final CountDownLatch mRelease = new CountDownLatch(1);

        @Override
        protected void append(ILoggingEvent e) {
            try {
                mRelease.await(WAIT_SECONDS, TimeUnit.SECONDS);
            } catch (InterruptedException x) {
                Thread.currentThread().interrupt();
            }
            mLines.add(e.getMessage());
        }
    }

    private ILoggingEvent line(int number) {
        return new LoggingEvent(
                "test", mContext.getLogger("test"), Level.INFO, "line " + number, null, null);
    }

    @Test
    void fullQueueDropsAndCountsInsteadOfBlocking() {
        SlowOutput out = new SlowOutput();
        out.setContext(mContext);
        out.start();
        BoundedAsyncAppender queue = BoundedAsyncAppender.to(out);
        queue.setContext(mContext);
        queue.start();
        long before = BoundedAsyncAppender.dropped();
        for (int i = 0; i < EVENTS_OVER_CAPACITY; i++) {
            queue.doAppend(line(i));
        }
        long dropped = BoundedAsyncAppender.dropped() - before;
        assertThat(dropped).isAtLeast(1L);
        out.mRelease.countDown();
        queue.stop();
        assertThat(out.mLines.size() + dropped).isEqualTo((long) EVENTS_OVER_CAPACITY);
        assertThat(out.mLines.get(0)).isEqualTo("line 0");
    }
}
