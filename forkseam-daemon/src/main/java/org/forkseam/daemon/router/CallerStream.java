package org.forkseam.daemon.router;

import io.activej.async.process.AsyncCloseable;
import io.activej.bytebuf.ByteBuf;
import io.activej.csp.supplier.ChannelSupplier;
import io.activej.csp.supplier.ChannelSuppliers;
import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Streams a response body to a caller with backpressure. The buffered size is bounded by the credit
 * granted to the sidecar. Not thread-safe: used on the event loop only.
 */
final class CallerStream {
    /** Receives the events of a stream. */
    interface Listener {
        /** Called when bytes were handed to the connection. */
        void onConsumed(int bytes);

        /** Called when the caller disconnected. */
        void onDisconnected();

        /** Called once the stream has ended, failed or been closed. */
        void onFinished();
    }

    private final Listener mListener;
    private final Deque<byte[]> mBuffers = new ArrayDeque<>();
    private SettablePromise<ByteBuf> mPendingRead;
    private boolean mEnded;
    private Exception mFailure;
    private boolean mClosed;

    CallerStream(Listener listener) {
        mListener = listener;
    }

    ChannelSupplier<ByteBuf> supplier() {
        return ChannelSuppliers.ofAsyncSupplier(this::read, AsyncCloseable.of(e -> close()));
    }

    private void close() {
        if (!mClosed) {
            mBuffers.clear();
            mListener.onDisconnected();
            finish();
        }
    }

    private void finish() {
        mClosed = true;
        mListener.onFinished();
    }

    private Promise<ByteBuf> read() {
        if (!mBuffers.isEmpty()) {
            return Promise.of(drain());
        }
        if (mFailure != null) {
            finish();
            return Promise.ofException(mFailure);
        }
        if (mEnded) {
            finish();
            return Promise.of(null);
        }
        mPendingRead = new SettablePromise<>();
        return mPendingRead;
    }

    private ByteBuf drain() {
        int size = 0;
        for (byte[] b : mBuffers) {
            size += b.length;
        }
        byte[] all = mBuffers.size() == 1 ? mBuffers.poll() : new byte[size];
        int position = 0;
        for (byte[] b = mBuffers.poll(); b != null; b = mBuffers.poll()) {
            System.arraycopy(b, 0, all, position, b.length);
            position += b.length;
        }
        mListener.onConsumed(size);
        return ByteBuf.wrapForReading(all);
    }

    void push(byte[] data) {
        if (!mClosed && data.length > 0) {
            mBuffers.add(data);
            completePendingRead();
        }
    }

    /** Ends the response normally. */
    void end() {
        mEnded = true;
        completePendingRead();
    }

    /** Aborts the connection after the buffered data, so the response appears truncated. */
    void fail(Exception cause) {
        mFailure = cause;
        completePendingRead();
    }

    private void completePendingRead() {
        if (mPendingRead == null) {
            return;
        }
        SettablePromise<ByteBuf> read = mPendingRead;
        mPendingRead = null;
        if (!mBuffers.isEmpty()) {
            read.set(drain());
        } else if (mFailure != null) {
            finish();
            read.setException(mFailure);
        } else {
            finish();
            read.set(null);
        }
    }
}
