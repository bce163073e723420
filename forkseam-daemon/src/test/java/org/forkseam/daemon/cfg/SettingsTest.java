package org.forkseam.daemon.cfg;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;

/** Guards against invalid settings passing validation and secrets leaking into output. */
class SettingsTest {
    private static final Path SAMPLES = Path.of("..", "samples");

    private static Settings read(String text) throws Exception {
        Path f = Files.createTempFile("settings", ".ini");
        try {
            Files.writeString(f, text);
            return Settings.read(f);
        } finally {
            Files.delete(f);
        }
    }

    private static String sample() throws IOException {
        return Files.readString(SAMPLES.resolve("ertis/lm-01.ini"));
    }

    @Test
    void sampleSettingsAreValid() throws Exception {
        try (Stream<Path> files = Files.walk(SAMPLES)) {
            List<Path> all =
                    files.filter(f -> f.toString().endsWith(".ini"))
                            .filter(f -> !f.endsWith("fleet.ini") && !f.endsWith("tryout.ini"))
                            .toList();
            assertThat(all.size()).isEqualTo(12 + 4 + 12 + 3 + 2);
            for (Path f : all) {
                Settings.read(f);
            }
        }
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "role = sidecar|role = judge|[daemon] role = judge; allowed: one of",
                "host = lm-host-01|hots = lm-host-01|[daemon] host is missing",
                "host = lm-host-01|hots = lm-host-01|[daemon] hots is an unknown key",
                "capacity = 16|capacity = 0|[target] capacity = 0; allowed: a whole",
                "capacity = 16|capacity = many|[target] capacity = many",
                "kind = engine|kind = mill|[target] kind = mill; allowed: one of",
                "[target]|[taregt]|[taregt] is an unknown section",
                "10.0.2.10:7100|host:7100|[wire] listen = host:7100; allowed: IP",
                "10.0.2.10:7100|10.0.2.10:99999|[wire] listen = 10.0.2.10:99999",
                "change-this-wire-key|short|[wire] key = (secret); allowed: a key",
                "http://10.0.0.4|ftp://10.0.0.4|[platform] host-list = ftp"
            })
    void invalidSettingIsReported(String from, String to, String message) throws Exception {
        String text = sample().replace(from.trim(), to.trim());
        SettingsException e = assertThrows(SettingsException.class, () -> read(text));
        assertThat(e.errors().stream().anyMatch(f -> f.contains(message.trim()))).isTrue();
        assertThat(e.getMessage()).doesNotContain("short;");
    }

    @Test
    void callersSectionIsRejectedForSidecar() throws Exception {
        String text = sample() + "[callers]\nlisten = 1.2.3.4:1\n";
        SettingsException e = assertThrows(SettingsException.class, () -> read(text));
        assertThat(e).hasMessageThat().contains("[callers] is an unknown section for a sidecar");
    }

    @Test
    void secretsAreNotDumped() throws Exception {
        assertThat(read(sample()).dump().toString()).doesNotContain("change-this");
    }
}
