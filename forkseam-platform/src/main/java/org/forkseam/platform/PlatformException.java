package org.forkseam.platform;

import java.io.IOException;

/** Reports that a service of the platform gave no usable answer to a read. */
public final class PlatformException extends IOException {
    private static final long serialVersionUID = 1L;

    /** Names the service and what happened. */
    public PlatformException(String service, String what) {
        super(service + ": " + what);
    }

    /** Names the service and the cause. */
    public PlatformException(String service, Throwable cause) {
        super(service + ": " + cause, cause);
    }
}
