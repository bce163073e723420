package org.forkseam.direct.io;

import org.forkseam.core.util.Clock;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.function.Predicate;

/**
 * Pool of connections to one address. The most recently used connection is reused first. Used on
 * the event loop.
 *
 * @since 0.2
 */
public final class ConnectionPool {
    private final Connector mConnector;
    private final Clock mClock;
    private final String mAddress;
    private final Deque<HttpConnection> mIdle = new ArrayDeque<>();
    private int mLimit = Integer.MAX_VALUE;
    private int mOpenCount;
    private boolean mClosed;

    private ConnectionPool(Connector connector, Clock clock, String address) {
        mConnector = connector;
        mClock = clock;
        mAddress = address;
    }

    /** Creates an empty pool. */
    public static ConnectionPool of(Connector connector, Clock clock, String address) {
        return new ConnectionPool(connector, clock, address);
    }

    /** Sets the maximum number of connections. */
    public void setLimit(int limit) {
        mLimit = limit;
    }

    /** Returns the number of open and connecting connections. */
    public int openCount() {
        return mOpenCount;
    }

    /**
     * Acquires an idle connection, or opens one.
     *
     * @param maxIdleMillis connections that were idle for longer are closed instead
     */
    public void acquire(long maxIdleMillis, ConnectionCallback callback) {
        acquire(maxIdleMillis, c -> true, callback);
    }

    /**
     * Acquires a connection that has not carried a request with the given id. A late second
     * response to that request could not be told from the one that is due.
     *
     * @param maxIdleMillis connections that were idle for longer are closed instead
     */
    public void acquireFor(String requestId, long maxIdleMillis, ConnectionCallback callback) {
        acquire(maxIdleMillis, c -> !c.hasCarried(requestId), callback);
    }

    private void acquire(
            long maxIdleMillis, Predicate<HttpConnection> suits, ConnectionCallback callback) {
        long now = mClock.nowMillis();
        Iterator<HttpConnection> i = mIdle.iterator();
        while (i.hasNext()) {
            HttpConnection c = i.next();
            boolean usable =
                    c.isUsable() && c.idleMillis(now) < Math.min(maxIdleMillis, c.maxIdleMillis());
            if (usable && !suits.test(c)) {
                continue;
            }
            i.remove();
            if (usable) {
                callback.onConnection(c);
                return;
            }
            c.close();
        }
        if (mOpenCount >= mLimit && mIdle.isEmpty()) {
            callback.onConnectionFailed(
                    ExchangeFailure.NO_CONNECTION_FREE,
                    mOpenCount + " connections open, limit reached");
            return;
        }
        if (mOpenCount >= mLimit) {
            mIdle.pollLast().close(); // none that is idle suits
        }
        openReplacement(callback);
    }

    /**
     * Opens a connection regardless of idle connections and the limit, to replace a broken one that
     * may still count as open.
     */
    public void openReplacement(ConnectionCallback callback) {
        mOpenCount++;
        HttpConnection c = new HttpConnection(this);
        mConnector.connect(mAddress, c, callback, this::onConnectFailed);
    }

    private void onConnectFailed() {
        mOpenCount--;
    }

    void release(HttpConnection c, boolean reusable) {
        if (!reusable || mClosed || !c.isUsable()) {
            c.close();
            return;
        }
        c.onIdle(mClock.nowMillis());
        mIdle.addFirst(c);
    }

    /** Counts what the server sent beyond the response that was due. */
    void onSurplus(SurplusKind kind, int bytes, int exchanges) {
        mConnector.surplus().record(mAddress, kind, bytes, exchanges, mClock.nowMillis());
    }

    void onClosed(HttpConnection c) {
        mOpenCount--;
        mIdle.remove(c);
    }

    /**
     * Closes connections that were idle for longer than {@code maxIdleMillis} or the server's
     * keep-alive time.
     */
    public void closeIdle(long maxIdleMillis) {
        long now = mClock.nowMillis();
        Iterator<HttpConnection> i = mIdle.descendingIterator();
        while (i.hasNext()) {
            HttpConnection c = i.next();
            if (c.idleMillis(now) >= Math.min(maxIdleMillis, c.maxIdleMillis())) {
                i.remove();
                c.close();
            }
        }
    }

    /**
     * Closes the connections that have been idle since the given time. Called when another
     * connection used then has become silent, as the same network fault may affect them.
     */
    public void closeIdleSince(long sinceMillis) {
        closeIdle(mClock.nowMillis() - sinceMillis);
    }

    /** Closes all idle connections; active ones are closed on release. */
    public void close() {
        mClosed = true;
        while (!mIdle.isEmpty()) {
            mIdle.pollFirst().close();
        }
    }
}
