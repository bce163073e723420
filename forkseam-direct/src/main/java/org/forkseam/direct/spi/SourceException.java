package org.forkseam.direct.spi;

import java.io.IOException;
import java.util.concurrent.CompletionException;

/** Reports that the source of knowledge gave no usable answer. */
public final class SourceException extends IOException {
    private static final long serialVersionUID = 1L;

    private final boolean mHistoryCompacted;

    private SourceException(String what, boolean historyGone) {
        super(what);
        mHistoryCompacted = historyGone;
    }

    /** Creates the report of a failure. */
    public static SourceException of(String what) {
        return new SourceException(what, false);
    }

    /** Creates the report that changes since a revision are not kept any more. */
    public static SourceException historyCompacted() {
        return new SourceException("history is gone", true);
    }

    /**
     * Returns whether a read of the whole helps at once: the source has answered.
     *
     * @param failure of a call, alone or as the cause that a future wraps
     */
    public static boolean isHistoryCompacted(Throwable failure) {
        Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
        return cause instanceof SourceException s && s.mHistoryCompacted;
    }
}
