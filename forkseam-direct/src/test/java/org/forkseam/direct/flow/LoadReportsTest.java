package org.forkseam.direct.flow;

import static com.google.common.truth.Truth.assertThat;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;

import org.forkseam.core.load.ReportedLoad;
import org.forkseam.core.member.AvailabilitySignal;
import org.forkseam.core.member.Target;
import org.forkseam.core.member.TargetEntry;
import org.forkseam.direct.spi.ResponseHead;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.slf4j.LoggerFactory;
import org.slf4j.event.KeyValuePair;

import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;

import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.read.ListAppender;

/** Tests the handling of load reports, and the log lines and counter of malformed ones. */
class LoadReportsTest {
    private final Target mTarget =
            Target.of(new TargetEntry("i", "p", "10.0.0.1:1", "a", 12, false, 0));
    private final SimpleMeterRegistry mRegistry = new SimpleMeterRegistry();
    private final ListAppender<ILoggingEvent> mLines = new ListAppender<>();
    private final Logger mLog = (Logger) LoggerFactory.getLogger("forkseam");
    private LoadReports mReports;
    private long mNow = 1_000;

    @BeforeEach
    void start() {
        RequestMeters meters = new RequestMeters();
        meters.bindTo(mRegistry);
        mReports = new LoadReports(() -> mNow, meters);
        mLines.start();
        mLog.addAppender(mLines);
    }

    @AfterEach
    void stop() {
        mLog.detachAppender(mLines);
    }

    private static ResponseHead head(Optional<ReportedLoad> load, Optional<String> malformed) {
        return new ResponseHead(
                List.of(),
                List.of(),
                Optional.empty(),
                false,
                false,
                load,
                malformed,
                OptionalLong.empty(),
                AvailabilitySignal.NONE);
    }

    private void onMalformed(String text) {
        mReports.onHead(mTarget, head(Optional.empty(), Optional.of(text)));
    }

    private double malformedCount() {
        return mRegistry.get("forkseam.load.malformed").functionCounter().count();
    }

    @Test
    void loadIsRecordedOnTheTarget() {
        ReportedLoad load = new ReportedLoad(12, 7, 12, OptionalInt.of(250));
        mReports.onHead(mTarget, head(Optional.of(load), Optional.empty()));
        assertThat(mTarget.lastReport()).isEqualTo(load);
        assertThat(mTarget.loadReportAgeMillis(mNow)).isEqualTo(0);
        assertThat(malformedCount()).isEqualTo(0.0);
        assertThat(mLines.list).isEmpty();
    }

    @Test
    void malformedReportKeepsTheLastLoad() {
        mTarget.onLoadReported(9, 500);
        onMalformed("x,y");
        assertThat(mTarget.reportedLoad()).isEqualTo(9);
        assertThat(mTarget.loadReportAgeMillis(mNow)).isEqualTo(500);
    }

    /** Guards against a faulty target whose reports crowd out other log lines. */
    @Test
    void allMalformedReportsAreCountedAndFewAreLogged() {
        for (int i = 0; i < 100; i++) {
            onMalformed("x,y");
            mNow += 10;
        }
        assertThat(malformedCount()).isEqualTo(100.0);
        assertThat(mLines.list).hasSize(1);
        onMalformed("z,y");
        assertThat(mLines.list).hasSize(2);
        assertThat(mLines.list.get(1).getMessage()).isEqualTo("load_malformed");
        assertThat(mLines.list.get(1).getKeyValuePairs())
                .containsExactly(new KeyValuePair("target", "i"), new KeyValuePair("value", "z,y"));
    }

    @Test
    void longTextIsCutInTheLog() {
        onMalformed("x".repeat(8_000));
        KeyValuePair value = mLines.list.get(0).getKeyValuePairs().get(1);
        assertThat(value.value.toString()).hasLength(64);
    }
}
