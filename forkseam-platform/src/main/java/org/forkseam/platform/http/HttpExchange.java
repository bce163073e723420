package org.forkseam.platform.http;

import java.io.IOException;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * One request and its response, as the event loop sees it. Used on the event loop.
 *
 * @since 0.10
 */
public final class HttpExchange {
    private final HttpNetwork mNetwork;
    private final NetworkExchange mNetworkSide;
    private final Listener mListener;
    private final Deque<Event> mPending = new ArrayDeque<>();
    private boolean mReading = true;
    private boolean mDelivering;
    private boolean mClosed;
    private int mUnreported;

    /** Receives a response on the event loop. The last three methods are terminal. */
    public interface Listener {
        /** Called with the status and the header fields. */
        void onHead(int status, List<Map.Entry<String, String>> headers);

        /** Called with a part of the body. */
        void onData(byte[] data);

        /** Called when the response is complete. */
        void onEnd();

        /** Called if no connection could be opened, so that nothing was sent. */
        void onNotSent(Exception cause);

        /** Called if the exchange ends otherwise without a complete response. */
        void onFailed(Exception cause);
    }

    /**
     * What was read from the network.
     *
     * @param bytes the body bytes that it holds
     * @param isLast whether nothing follows
     * @param call tells the listener
     */
    record Event(int bytes, boolean isLast, Consumer<Listener> call) {
        static Event failed(String message) {
            return new Event(0, true, l -> l.onFailed(new IOException(message)));
        }
    }

    private HttpExchange(HttpNetwork network, NetworkExchange networkSide, Listener listener) {
        mNetwork = network;
        mNetworkSide = networkSide;
        mListener = listener;
    }

    static HttpExchange of(HttpNetwork network, NetworkExchange networkSide, Listener listener) {
        return new HttpExchange(network, networkSide, listener);
    }

    /** Resumes or pauses the delivery of body bytes. */
    public void setReading(boolean reading) {
        mReading = reading;
        deliver();
    }

    /** Aborts the exchange. The listener is not called any more. */
    public void close() {
        if (!mClosed) {
            mClosed = true;
            mPending.clear();
            mNetwork.runOnNetwork(mNetworkSide::abort);
        }
    }

    /** Receives events from the network thread. */
    void onEvents(List<Event> events) {
        if (!mClosed) {
            mPending.addAll(events);
            deliver();
        }
    }

    private void deliver() {
        if (mDelivering) {
            return;
        }
        mDelivering = true;
        try {
            while (!mClosed && hasDeliverable()) {
                Event e = mPending.removeFirst();
                mClosed = e.isLast();
                e.call().accept(mListener);
                reportDelivered(e.bytes());
            }
        } finally {
            mDelivering = false;
        }
    }

    private boolean hasDeliverable() {
        return !mPending.isEmpty() && (mReading || mPending.peekFirst().bytes() == 0);
    }

    /** Lets the network thread read on, in steps of half a window. */
    private void reportDelivered(int bytes) {
        mUnreported += bytes;
        if (mUnreported >= NetworkExchange.WINDOW_BYTES / 2) {
            int n = mUnreported;
            mUnreported = 0;
            mNetwork.runOnNetwork(() -> mNetworkSide.onDelivered(n));
        }
    }
}
