package org.forkseam.daemon.cfg;

import java.util.List;

/** Reports all faults of a settings file at once. */
public final class SettingsException extends Exception {
    private static final long serialVersionUID = 1L;

    private final transient List<String> mFaults;

    /** Holds one line for each fault. */
    public SettingsException(List<String> faults) {
        super(String.join("\n", faults));
        mFaults = List.copyOf(faults);
    }

    /** Returns one line for each fault. */
    public List<String> faults() {
        return mFaults;
    }
}
