package org.forkseam.direct.know;

import org.forkseam.direct.log.Event;

/** Tracks whether the store responds to this router. Confined to the event loop. */
final class StoreHealth {
    private final Listener mListener;
    private boolean mDown;

    /** Receives the recovery of the store. */
    interface Listener {
        /** Called when the store responds again, before its response is applied. */
        void onRecovered();
    }

    StoreHealth(Listener listener) {
        mListener = listener;
    }

    boolean isDown() {
        return mDown;
    }

    void onSuccess() {
        if (mDown) {
            mDown = false;
            mListener.onRecovered();
        }
    }

    void onFailure(Throwable failure) {
        if (!mDown) {
            mDown = true;
            Event.always("store_lost").with("cause", failure.getMessage()).log();
        }
    }
}
