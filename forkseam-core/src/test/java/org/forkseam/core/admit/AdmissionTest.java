package org.forkseam.core.admit;

import static com.google.common.truth.Truth.assertThat;

import org.forkseam.core.outcome.RefusalReason;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests admission decisions and refusal reasons. */
class AdmissionTest {
    @ParameterizedTest
    @CsvSource(
            nullValues = "-",
            value = {
                // leaving, running, queued, others, ahead, remaining ms, refusal
                "false, 0, 0,  0, 0, 1000, -",
                "true,  0, 0,  0, 0, 1000, LEAVING",
                "true,  0, 0,  0, 0,    0, LEAVING",
                "false, 0, 0,  0, 0,    0, DEADLINE",
                "false, 8, 2, 88, 2, 1000, -",
                "false, 8, 2, 66, 2, 1000, OVER_BOUND",
                "false, 8, 2, 88, 2,   30, DEADLINE",
                "false, 7, 0, 77, 0,   30, -",
            })
    void decides(
            boolean leaving,
            int running,
            int queued,
            long others,
            int ahead,
            long remaining,
            RefusalReason expected) {
        Admission.Snapshot snapshot =
                new Admission.Snapshot(leaving, running, queued, 8, others, 96, 1.25, 100);
        assertThat(Admission.refusalReason(snapshot, ahead, remaining).orElse(null))
                .isEqualTo(expected);
    }
}
