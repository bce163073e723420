package org.forkseam.daemon.cfg;

import java.util.List;
import java.util.function.Predicate;
import java.util.regex.Pattern;

/**
 * Type of a setting: defines which values are valid.
 *
 * @param allowed description of the valid values, for error messages
 * @param isSecret whether the value must be redacted in output
 * @param validator tests whether a value is valid
 */
public record SettingType(String allowed, boolean isSecret, Predicate<String> validator) {
    private static final Pattern NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,62}");
    private static final Pattern ADDRESS =
            Pattern.compile("([0-9]{1,3}(\\.[0-9]{1,3}){3}|\\[[0-9a-fA-F:]+\\]):([0-9]{1,5})");
    private static final Pattern URL = Pattern.compile("https?://[^\\s/]+(/\\S*)?");
    private static final int MIN_SECRET = 8;
    private static final int MAX_PORT = 65_535;

    static SettingType text() {
        return new SettingType("any text", false, v -> true);
    }

    static SettingType name() {
        return new SettingType(
                "a name of up to 63 letters, digits, . _ -", false, v -> NAME.matcher(v).matches());
    }

    static SettingType secret() {
        return new SettingType(
                "a key of at least " + MIN_SECRET + " characters",
                true,
                v -> v.length() >= MIN_SECRET);
    }

    static SettingType address() {
        return new SettingType(
                "IP:PORT with a port up to " + MAX_PORT,
                false,
                v ->
                        ADDRESS.matcher(v).matches()
                                && Integer.parseInt(v.substring(v.lastIndexOf(':') + 1))
                                        <= MAX_PORT);
    }

    static SettingType url() {
        return new SettingType(
                "http://IP:PORT or http://IP:PORT/PATH", false, v -> URL.matcher(v).matches());
    }

    static SettingType integer(long min, long max) {
        return new SettingType(
                "a whole number from " + min + " to " + max,
                false,
                v -> v.matches("[0-9]{1,15}") && isBetween(Long.parseLong(v), min, max));
    }

    static SettingType oneOf(String... values) {
        List<String> all = List.of(values);
        return new SettingType("one of " + String.join(", ", all), false, all::contains);
    }

    private static boolean isBetween(long v, long min, long max) {
        return v >= min && v <= max;
    }
}
