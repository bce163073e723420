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

/** Tests that logging neither blocks nor loses lines without counting them. */
class BoundedAsyncAppenderTest {
    private static final int MORE_THAN_THE_QUEUE = 1_500;
    private static final long WAIT_SECONDS = 5;

    private final LoggerContext mContext = new LoggerContext();

    @BeforeEach
    void setUp() {
        mContext.setMDCAdapter(new LogbackMDCAdapter());
    }

    /** Writes lines into a list, and only once it is let. */
    private static final class SlowOutput extends AppenderBase<ILoggingEvent> {
        private final List<String> mLines = new CopyOnWriteArrayList<>();
        private final CountDownLatch mLet = new CountDownLatch(1);

        @Override
        protected void append(ILoggingEvent e) {
            try {
                mLet.await(WAIT_SECONDS, TimeUnit.SECONDS);
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
    void aFullQueueDropsAndCountsInsteadOfBlocking() {
        SlowOutput out = new SlowOutput();
        out.setContext(mContext);
        out.start();
        BoundedAsyncAppender queue = BoundedAsyncAppender.to(out);
        queue.setContext(mContext);
        queue.start();
        long before = BoundedAsyncAppender.dropped();
        for (int i = 0; i < MORE_THAN_THE_QUEUE; i++) {
            queue.doAppend(line(i));
        }
        long dropped = BoundedAsyncAppender.dropped() - before;
        assertThat(dropped).isAtLeast(1L);
        out.mLet.countDown();
        queue.stop();
        assertThat(out.mLines.size() + dropped).isEqualTo((long) MORE_THAN_THE_QUEUE);
        assertThat(out.mLines.get(0)).isEqualTo("line 0");
    }
}
