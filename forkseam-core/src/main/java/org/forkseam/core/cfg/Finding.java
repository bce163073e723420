package org.forkseam.core.cfg;

/**
 * Describes a problem in a declared configuration.
 *
 * @param section the section concerned, such as {@code pool briefing}
 * @param key the key concerned, or empty for the whole section
 * @param value the value found
 * @param allowed description of the allowed values
 * @param error true if the configuration is rejected, false for a warning
 */
public record Finding(String section, String key, String value, String allowed, boolean error) {
    /** Formats the finding as one line. */
    @Override
    public String toString() {
        String place = "[" + section + "]" + (key.isEmpty() ? "" : " " + key + " = " + value);
        return (error ? "error: " : "warning: ") + place + ": allowed: " + allowed;
    }
}
