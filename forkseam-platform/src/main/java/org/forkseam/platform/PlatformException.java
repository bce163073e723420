package org.forkseam.platform;

import java.io.IOException;

/** Thrown when a platform service returns no usable response. */
public final class PlatformException extends IOException {
    private static final long serialVersionUID = 1L;

    /** Creates an exception with the service and a description. */
    public PlatformException(String service, String message) {
        super(service + ": " + message);
    }

    /** Creates an exception with the service and the cause. */
    public PlatformException(String service, Throwable cause) {
        super(service + ": " + cause, cause);
    }
}
