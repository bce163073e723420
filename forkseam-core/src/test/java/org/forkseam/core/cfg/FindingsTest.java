package org.forkseam.core.cfg;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import java.util.Map;
import java.util.TreeMap;

/** Tests that each error of a configuration is reported with its place and the allowed values. */
class FindingsTest {
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "pool p   | selector            | a==b==c(     | a label value",
                "pool p   | selector            | two words    | name=value",
                "pool p   | max-load-multiple   | 0.5          | a number from 1.0 to 100.0",
                "pool p   | prefer              | both         | skew or reuse",
                "pool p   | queue-limit         | many         | a number",
                "pool p   | colour              | red          | one of deadline-ms",
                "team t   | requests-per-second | -1           | a number from 0.0",
                "team t   | weight              | 0            | a number from 0.001",
                "team t   | labels              | novalue      | name=value pairs",
                "intent i | pool                | nowhere      | a declared pool",
                "target x | drained             | maybe        | true or false",
                "plan x   | a                   | b            | [pool NAME]",
                "pool     | a                   | b            | [pool NAME]"
            })
    void errorIsReported(String section, String key, String value, String allowed) {
        Map<String, Map<String, String>> sections = new TreeMap<>();
        sections.put(section.trim(), Map.of(key.trim(), value.trim()));
        FleetConfig config = FleetConfig.of(1, "", sections);
        assertThat(config.findings()).hasSize(1);
        assertThat(config.findings().get(0).toString()).contains("[" + section.trim() + "]");
        assertThat(config.findings().get(0).allowed()).contains(allowed);
    }

    @ParameterizedTest
    @CsvSource({"*,team=a", "team=a,team=a"})
    void shadowedIntentIsReported(String first, String second) {
        Map<String, Map<String, String>> sections = new TreeMap<>();
        sections.put("pool p", Map.of());
        sections.put("intent a", Map.of("pool", "p", "selector", first));
        sections.put("intent b", Map.of("pool", "p", "selector", second));
        FleetConfig config = FleetConfig.of(1, "", sections);
        assertThat(config.findings()).hasSize(1);
        assertThat(config.findings().get(0).section()).isEqualTo("intent b");
    }
}
