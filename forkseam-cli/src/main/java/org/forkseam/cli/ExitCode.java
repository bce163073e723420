package org.forkseam.cli;

/** Exit codes of the command line. */
final class ExitCode {
    static final int DONE = 0;
    static final int REFUSED = 1;
    static final int USAGE = 2;
    static final int UNREACHABLE = 3;

    private ExitCode() {}
}
