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
 * Passes an answer's bytes to a caller at the caller's own pace. What it holds is bounded by the
 * credit given to the sidecar. Used on the event loop.
 */
final class CallerStream {
    /** Is told how the caller takes the answer. */
    interface Listener {
        /** Receives that the caller's connection took so many bytes. */
        void onTaken(int bytes);

        /** Receives that the caller has gone. */
        void onGone();

        /** Receives that nothing more will be passed on, for whatever reason. */
        void onFinished();
    }

    private final Listener mListener;
    private final Deque<byte[]> mReady = new ArrayDeque<>();
    private SettablePromise<ByteBuf> mWaiting;
    private boolean mEnded;
    private Exception mFailure;
    private boolean mClosed;

    CallerStream(Listener listener) {
        mListener = listener;
    }

    ChannelSupplier<ByteBuf> supplier() {
        return ChannelSuppliers.ofAsyncSupplier(this::next, AsyncCloseable.of(e -> close()));
    }

    private void close() {
        if (!mClosed) {
            mReady.clear();
            mListener.onGone();
            finish();
        }
    }

    private void finish() {
        mClosed = true;
        mListener.onFinished();
    }

    private Promise<ByteBuf> next() {
        if (!mReady.isEmpty()) {
            return Promise.of(take());
        }
        if (mFailure != null) {
            finish();
            return Promise.ofException(mFailure);
        }
        if (mEnded) {
            finish();
            return Promise.of(null);
        }
        mWaiting = new SettablePromise<>();
        return mWaiting;
    }

    private ByteBuf take() {
        int size = 0;
        for (byte[] b : mReady) {
            size += b.length;
        }
        byte[] all = mReady.size() == 1 ? mReady.poll() : new byte[size];
        int at = 0;
        for (byte[] b = mReady.poll(); b != null; b = mReady.poll()) {
            System.arraycopy(b, 0, all, at, b.length);
            at += b.length;
        }
        mListener.onTaken(size);
        return ByteBuf.wrapForReading(all);
    }

    void push(byte[] data) {
        if (!mClosed && data.length > 0) {
            mReady.add(data);
            wake();
        }
    }

    /** Ends the answer as whole. */
    void end() {
        mEnded = true;
        wake();
    }

    /** Breaks the connection off after what was pushed, so that nothing looks whole. */
    void fail(Exception cause) {
        mFailure = cause;
        wake();
    }

    private void wake() {
        if (mWaiting == null) {
            return;
        }
        SettablePromise<ByteBuf> w = mWaiting;
        mWaiting = null;
        if (!mReady.isEmpty()) {
            w.set(take());
        } else if (mFailure != null) {
            finish();
            w.setException(mFailure);
        } else {
            finish();
            w.set(null);
        }
    }
}
