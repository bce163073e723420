package org.forkseam.cli;

/** Ends a command with an exit code and one line that says why. */
final class CliException extends Exception {
    private static final long serialVersionUID = 1L;

    private final int mExitCode;

    CliException(int exitCode, String message) {
        super(message);
        mExitCode = exitCode;
    }

    int exitCode() {
        return mExitCode;
    }
}
