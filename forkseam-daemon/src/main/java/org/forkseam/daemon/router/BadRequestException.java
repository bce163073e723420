package org.forkseam.daemon.router;

/** Signals a malformed request; the message names the invalid part and what is allowed. */
final class BadRequestException extends Exception {
    private static final long serialVersionUID = 1L;

    private final int mStatus;

    BadRequestException(int status, String message) {
        super(message);
        mStatus = status;
    }

    int status() {
        return mStatus;
    }
}
