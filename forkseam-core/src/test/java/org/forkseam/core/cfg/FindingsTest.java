package org.forkseam.core.cfg;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import java.util.Map;
import java.util.TreeMap;

/** Each fault of a declared configuration is found, with its place and what is allowed. */
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
    void faultIsFound(String section, String key, String value, String allowed) {
        Map<String, Map<String, String>> s = new TreeMap<>();
        s.put(section.trim(), Map.of(key.trim(), value.trim()));
        FleetConfig c = FleetConfig.of(1, "", s);
        assertThat(c.findings()).hasSize(1);
        assertThat(c.findings().get(0).toString()).contains("[" + section.trim() + "]");
        assertThat(c.findings().get(0).allowed()).contains(allowed);
    }

    @ParameterizedTest
    @CsvSource({"*,team=a", "team=a,team=a"})
    void shadowedIntentIsFound(String first, String second) {
        Map<String, Map<String, String>> s = new TreeMap<>();
        s.put("pool p", Map.of());
        s.put("intent a", Map.of("pool", "p", "selector", first));
        s.put("intent b", Map.of("pool", "p", "selector", second));
        FleetConfig c = FleetConfig.of(1, "", s);
        assertThat(c.findings()).hasSize(1);
        assertThat(c.findings().get(0).section()).isEqualTo("intent b");
    }
}
