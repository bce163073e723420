package org.forkseam.cli;

import org.apache.commons.configuration2.INIConfiguration;
import org.apache.commons.configuration2.SubnodeConfiguration;
import org.apache.commons.configuration2.ex.ConfigurationException;

import java.io.IOException;
import java.io.Reader;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Iterator;
import java.util.Map;
import java.util.TreeMap;

/** Reads configuration sections from INI files. */
final class IniSections {
    private IniSections() {}

    static Map<String, Map<String, String>> read(Iterable<Path> files) throws CliException {
        Map<String, Map<String, String>> out = new TreeMap<>();
        for (Path f : files) {
            try (Reader in = Files.newBufferedReader(f)) {
                INIConfiguration ini = new INIConfiguration();
                ini.read(in);
                for (String s : ini.getSections()) {
                    if (s == null || out.put(s, keys(ini.getSection(s))) != null) {
                        throw new CliException(
                                ExitCode.USAGE,
                                f
                                        + ": ["
                                        + s
                                        + "]: allowed: each section once; nothing was changed");
                    }
                }
            } catch (IOException | ConfigurationException e) {
                throw new CliException(
                        ExitCode.USAGE, f + " cannot be read: " + e + "; nothing was changed");
            }
        }
        return out;
    }

    private static Map<String, String> keys(SubnodeConfiguration section) {
        Map<String, String> out = new TreeMap<>();
        for (Iterator<String> i = section.getKeys(); i.hasNext(); ) {
            String k = i.next();
            out.put(k.replace("..", "."), section.getString(k));
        }
        return out;
    }
}
