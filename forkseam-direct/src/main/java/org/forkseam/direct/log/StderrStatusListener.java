package org.forkseam.direct.log;

import ch.qos.logback.core.status.Status;
import ch.qos.logback.core.status.StatusListener;

/** Prints warnings and errors of Logback itself to standard error. Thread-safe. */
final class StderrStatusListener implements StatusListener {
    @Override
    public void addStatusEvent(Status s) {
        if (s.getEffectiveLevel() >= Status.WARN) {
            System.err.println(s);
        }
    }
}
