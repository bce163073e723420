package org.forkseam.cli;

/** Thrown to end a command with an exit code and a one-line message. */
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
