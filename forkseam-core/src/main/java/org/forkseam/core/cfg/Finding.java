package org.forkseam.core.cfg;

/**
 * Names one fault in a declared configuration.
 *
 * @param section the section at fault, such as {@code pool briefing}
 * @param key the key at fault, or empty when the section as a whole is
 * @param value the value found
 * @param allowed what would have been accepted
 * @param error true if the configuration is refused for it, false for a warning
 */
public record Finding(String section, String key, String value, String allowed, boolean error) {
    /** Describes the finding on one line. */
    @Override
    public String toString() {
        String place = "[" + section + "]" + (key.isEmpty() ? "" : " " + key + " = " + value);
        return (error ? "error: " : "warning: ") + place + ": allowed: " + allowed;
    }
}
