package org.forkseam.direct.io;

import org.forkseam.core.util.Clock;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;

/**
 * Keeps the connections to one address. The one used last is used next, so that few stay warm. Used
 * on the event loop.
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

    /** Creates a pool without a connection. */
    public static ConnectionPool of(Connector connector, Clock clock, String address) {
        return new ConnectionPool(connector, clock, address);
    }

    /** Sets the most connections it may hold. */
    public void setLimit(int limit) {
        mLimit = limit;
    }

    /** Returns the connections open or coming up. */
    public int openCount() {
        return mOpenCount;
    }

    /**
     * Brings a connection.
     *
     * @param maxIdleMillis one that has been idle for longer is not used
     */
    public void acquire(long maxIdleMillis, ConnectionCallback user) {
        long now = mClock.nowMillis();
        while (!mIdle.isEmpty()) {
            HttpConnection c = mIdle.pollFirst();
            if (c.isUsable() && c.idleMillis(now) < Math.min(maxIdleMillis, c.maxIdleMillis())) {
                user.onConnection(c);
                return;
            }
            c.close();
        }
        if (mOpenCount >= mLimit) {
            user.onConnectionFailed(
                    ExchangeFailure.NO_CONNECTION_FREE, mOpenCount + " connections open");
            return;
        }
        openReplacement(user);
    }

    /**
     * Brings a connection that is opened anew in the place of one that has just broken, which may
     * still count as open: whatever idle ones and whatever limit there are.
     */
    public void openReplacement(ConnectionCallback user) {
        mOpenCount++;
        HttpConnection c = new HttpConnection(this);
        mConnector.connect(mAddress, c, user, this::onConnectFailed);
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

    void onClosed(HttpConnection c) {
        mOpenCount--;
        mIdle.remove(c);
    }

    /** Closes connections that have been idle for longer than their server keeps them. */
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
     * Closes the connections that have been idle since a moment: one that was used then has gone
     * silent, and whatever cut it off without a word is likely to have cut those off too.
     */
    public void closeIdleSince(long millis) {
        closeIdle(mClock.nowMillis() - millis);
    }

    /** Closes all idle connections; those in use are closed when given back. */
    public void close() {
        mClosed = true;
        while (!mIdle.isEmpty()) {
            mIdle.pollFirst().close();
        }
    }
}
