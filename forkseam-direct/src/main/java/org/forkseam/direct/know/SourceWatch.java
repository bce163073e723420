package org.forkseam.direct.know;

import org.forkseam.direct.log.Event;

/** Follows whether the store answers this router. Used on the event loop. */
final class SourceWatch {
    private final Listener mListener;
    private boolean mDown;

    /** Is told when the store answers again. */
    interface Listener {
        /** Is called before what the store said is used. */
        void onBack();
    }

    SourceWatch(Listener listener) {
        mListener = listener;
    }

    boolean isDown() {
        return mDown;
    }

    void onAnswer() {
        if (mDown) {
            mDown = false;
            mListener.onBack();
        }
    }

    void onNoAnswer(Throwable failure) {
        if (!mDown) {
            mDown = true;
            Event.always("store_lost").with("cause", failure.getMessage()).log();
        }
    }
}
