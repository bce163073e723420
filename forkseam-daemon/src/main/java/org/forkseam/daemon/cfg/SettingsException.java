package org.forkseam.daemon.cfg;

import java.util.List;

/** Thrown if settings are invalid; lists all errors. */
public final class SettingsException extends Exception {
    private static final long serialVersionUID = 1L;

    private final transient List<String> mErrors;

    /** Creates an exception with one line per error. */
    public SettingsException(List<String> errors) {
        super(String.join("\n", errors));
        mErrors = List.copyOf(errors);
    }

    /** Returns one line per error. */
    public List<String> errors() {
        return mErrors;
    }
}
