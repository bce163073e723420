package org.forkseam.daemon.cfg;

import org.apache.commons.configuration2.INIConfiguration;
import org.apache.commons.configuration2.SubnodeConfiguration;
import org.apache.commons.configuration2.ex.ConfigurationException;

import java.io.IOException;
import java.io.Reader;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Validated settings of a daemon. Immutable.
 *
 * @since 0.1
 */
public final class Settings {
    private final Map<SettingKey, String> mValues;

    private Settings(Map<SettingKey, String> values) {
        mValues = values;
    }

    /**
     * Reads and validates a settings file.
     *
     * @throws SettingsException with one line per error
     */
    public static Settings read(Path file) throws SettingsException {
        try (Reader in = Files.newBufferedReader(file)) {
            INIConfiguration ini = new INIConfiguration();
            ini.read(in);
            return validate(file.toString(), sections(ini));
        } catch (IOException | ConfigurationException e) {
            throw new SettingsException(
                    List.of(
                            file
                                    + ": cannot be read: "
                                    + e.getMessage()
                                    + "; allowed: an INI file"));
        }
    }

    /**
     * Validates settings given as sections of keys.
     *
     * @param source name of the source, for error messages
     * @throws SettingsException with one line per error
     */
    public static Settings validate(String source, Map<String, Map<String, String>> sections)
            throws SettingsException {
        return new Validator(source, sections).validate();
    }

    private static Map<String, Map<String, String>> sections(INIConfiguration ini) {
        Map<String, Map<String, String>> out = new TreeMap<>();
        for (String s : ini.getSections()) {
            SubnodeConfiguration sub = ini.getSection(s);
            Map<String, String> values = new TreeMap<>();
            for (Iterator<String> i = sub.getKeys(); i.hasNext(); ) {
                String k = i.next();
                values.put(k.replace("..", "."), sub.getString(k));
            }
            out.put(s == null ? "" : s, values);
        }
        return out;
    }

    // ---------------------------------------------------------------- accessors

    /** Returns a value as a string. */
    public String text(SettingKey key) {
        return mValues.get(key);
    }

    /** Returns a value as an integer. */
    public int integer(SettingKey key) {
        return Integer.parseInt(mValues.get(key));
    }

    /** Returns a value as a socket address. */
    public InetSocketAddress address(SettingKey key) {
        return parseAddress(mValues.get(key));
    }

    /** Returns a value, or empty if it is empty or not set. */
    public Optional<String> optional(SettingKey key) {
        return Optional.ofNullable(mValues.get(key)).filter(v -> !v.isEmpty());
    }

    /** Returns whether this daemon is a router. */
    public boolean isRouter() {
        return "router".equals(mValues.get(SettingKey.ROLE));
    }

    /** Returns all settings for a state dump, with secrets redacted. */
    public Map<String, String> dump() {
        Map<String, String> out = new TreeMap<>();
        mValues.forEach(
                (k, v) ->
                        out.put(k.section() + "." + k.key(), k.type().isSecret() ? "(secret)" : v));
        return out;
    }

    /** Parses an {@code ip:port} address. */
    public static InetSocketAddress parseAddress(String text) {
        int colon = text.lastIndexOf(':');
        String ip = text.substring(0, colon).replace("[", "").replace("]", "");
        return new InetSocketAddress(ip, Integer.parseInt(text.substring(colon + 1)));
    }

    /** Validates sections against {@link SettingKey}. */
    private static final class Validator {
        private final String mSource;
        private final Map<String, Map<String, String>> mSections;
        private final List<String> mErrors = new ArrayList<>();

        Validator(String source, Map<String, Map<String, String>> sections) {
            mSource = source;
            mSections = sections;
        }

        Settings validate() throws SettingsException {
            String role = mSections.getOrDefault("daemon", Map.of()).getOrDefault("role", "");
            Map<SettingKey, String> values = new EnumMap<>(SettingKey.class);
            boolean roleKnown = SettingKey.ROLE.type().validator().test(role);
            for (SettingKey k : SettingKey.values()) {
                if (k == SettingKey.ROLE || (roleKnown && k.appliesTo(role))) {
                    read(k, values);
                }
            }
            if (roleKnown) {
                rejectUnknown(role);
            }
            if (!mErrors.isEmpty()) {
                throw new SettingsException(mErrors);
            }
            return new Settings(values);
        }

        private void read(SettingKey k, Map<SettingKey, String> values) {
            String v = mSections.getOrDefault(k.section(), Map.of()).get(k.key());
            if (v == null && k.defaultValue() == null) {
                addError(k.section(), k.key(), "is missing", k.type().allowed());
            } else if (v != null && !k.type().validator().test(v)) {
                String shown = k.type().isSecret() ? "(secret)" : v;
                addError(k.section(), k.key(), "= " + shown, k.type().allowed());
            } else {
                values.put(k, v == null ? k.defaultValue() : v);
            }
        }

        private void rejectUnknown(String role) {
            mSections.forEach(
                    (section, keys) -> {
                        List<String> known = keysOf(section, role);
                        if (known.isEmpty()) {
                            String all = String.join(", ", sectionsOf(role));
                            addError(section, "", "is an unknown section for a " + role, all);
                            return;
                        }
                        keys.keySet().stream()
                                .filter(k -> !known.contains(k))
                                .forEach(
                                        k ->
                                                addError(
                                                        section,
                                                        k,
                                                        "is an unknown key for a " + role,
                                                        String.join(", ", known)));
                    });
        }

        private static List<String> keysOf(String section, String role) {
            List<String> out = new ArrayList<>();
            for (SettingKey k : SettingKey.values()) {
                if (k.section().equals(section) && k.appliesTo(role)) {
                    out.add(k.key());
                }
            }
            return out;
        }

        private static List<String> sectionsOf(String role) {
            List<String> out = new ArrayList<>();
            for (SettingKey k : SettingKey.values()) {
                if (k.appliesTo(role) && !out.contains(k.section())) {
                    out.add(k.section());
                }
            }
            return out;
        }

        private void addError(String section, String key, String what, String allowed) {
            String at = key.isEmpty() ? "" : " " + key;
            mErrors.add(
                    mSource + ": [" + section + "]" + at + " " + what + "; allowed: " + allowed);
        }
    }
}
