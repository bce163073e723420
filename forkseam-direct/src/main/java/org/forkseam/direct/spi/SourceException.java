package org.forkseam.direct.spi;

import java.io.IOException;
import java.util.concurrent.CompletionException;

/** Thrown when a {@link FleetSource} or {@link SharedRows} returns no usable response. */
public final class SourceException extends IOException {
    private static final long serialVersionUID = 1L;

    private final boolean mHistoryCompacted;

    private SourceException(String message, boolean historyCompacted) {
        super(message);
        mHistoryCompacted = historyCompacted;
    }

    /** Creates an exception. */
    public static SourceException of(String message) {
        return new SourceException(message, false);
    }

    /** Creates an exception for a position whose later changes are no longer retained. */
    public static SourceException historyCompacted() {
        return new SourceException(
                "changes since the requested position are no longer retained", true);
    }

    /**
     * Returns whether changes were compacted, so that a full read is needed.
     *
     * @param failure the failure, possibly wrapped by a future
     */
    public static boolean isHistoryCompacted(Throwable failure) {
        Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
        return cause instanceof SourceException s && s.mHistoryCompacted;
    }
}
