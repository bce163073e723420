package org.forkseam.platform.http;

import io.activej.eventloop.Eventloop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.util.concurrent.DefaultThreadFactory;

import org.forkseam.core.util.Clock;
import org.forkseam.direct.io.ConnectionPool;
import org.forkseam.direct.io.Connector;
import org.forkseam.direct.io.SurplusCounts;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;

/**
 * Network thread for HTTP requests of an event loop. Sends them on the connections of the direct
 * path, which tell surplus bytes from the response that is due.
 *
 * <p>All tasks that pass between the two threads pass through this class. {@link #send} must be
 * called on the event loop.
 *
 * @since 0.10
 */
public final class HttpNetwork {
    private static final int STOP_MILLIS = 2_000;
    private static final long CLOSE_IDLE_INTERVAL_MILLIS = 1_000;

    private final Eventloop mLoop;
    private final EventLoopGroup mGroup;
    private final Connector mConnector;
    private final long mMaxIdleMillis;
    private final Clock mClock = Clock.monotonic();
    private final CompletableFuture<Void> mStopped = new CompletableFuture<>();

    // Used on the network thread only.
    private final Map<String, ConnectionPool> mPools = new HashMap<>();
    private final Set<NetworkExchange> mActive = new HashSet<>();
    private boolean mStopping;

    private HttpNetwork(Eventloop loop, String thread, Duration connectTimeout, Duration maxIdle) {
        mLoop = loop;
        mGroup =
                new MultiThreadIoEventLoopGroup(
                        1, new DefaultThreadFactory(thread, true), NioIoHandler.newFactory());
        mConnector = Connector.of(mGroup.next(), Math.toIntExact(connectTimeout.toMillis()));
        mMaxIdleMillis = maxIdle.toMillis();
        mGroup.terminationFuture().addListener(f -> mStopped.complete(null));
    }

    /**
     * Creates the network thread of an event loop; it starts with the first request.
     *
     * @param thread the name of the thread
     * @param maxIdle connections that were idle for longer are closed
     */
    public static HttpNetwork of(
            Eventloop loop, String thread, Duration connectTimeout, Duration maxIdle) {
        return new HttpNetwork(loop, thread, connectTimeout, maxIdle);
    }

    /**
     * Sends a request. The listener is called on the event loop, not before this method returns.
     *
     * @param target the server
     * @param id identifies the request in the {@code X-Request-Id} of its response, if the server
     *     returns one; empty for requests without an id
     */
    public HttpExchange send(
            HttpUrl target, FullHttpRequest request, String id, HttpExchange.Listener listener) {
        NetworkExchange e = new NetworkExchange(this, request, id, listener);
        if (!runOnNetwork(() -> start(target.address(), id, e))) {
            runOnEventloop(e::refuse);
        }
        return e.eventloopSide();
    }

    /**
     * Closes all connections and ends the thread. Listeners of active exchanges are not called any
     * more; exchanges that are sent later fail. Thread-safe; the future completes when the thread
     * has ended.
     */
    public CompletableFuture<Void> stop() {
        runOnNetwork(this::closeAll);
        mGroup.shutdownGracefully(0, STOP_MILLIS, TimeUnit.MILLISECONDS);
        return mStopped;
    }

    /** Returns the number of connections opened so far; exact once the exchanges have ended. */
    public long openedCount() {
        return mConnector.openedCount();
    }

    /** Returns what servers have sent beyond the responses that were due. */
    public SurplusCounts surplus() {
        return mConnector.surplus();
    }

    // ---------------------------------------------------------------- between the threads

    /** Runs a task on the network thread. Returns false if that has ended. */
    boolean runOnNetwork(Runnable task) {
        try {
            mGroup.execute(task);
            return true;
        } catch (RejectedExecutionException e) {
            return false;
        }
    }

    /** Runs a task on the event loop. */
    void runOnEventloop(Runnable task) {
        mLoop.execute(task);
    }

    // ---------------------------------------------------------------- on the network thread

    private void start(String address, String id, NetworkExchange e) {
        if (mStopping) {
            e.refuse();
            return;
        }
        if (mPools.isEmpty()) {
            mGroup.scheduleWithFixedDelay(
                    this::closeIdle,
                    CLOSE_IDLE_INTERVAL_MILLIS,
                    CLOSE_IDLE_INTERVAL_MILLIS,
                    TimeUnit.MILLISECONDS);
        }
        mActive.add(e);
        ConnectionPool pool =
                mPools.computeIfAbsent(
                        address, a -> ConnectionPool.of(mConnector, mClock, address));
        if (id.isEmpty()) {
            pool.acquire(mMaxIdleMillis, e);
        } else {
            pool.acquireFor(id, mMaxIdleMillis, e);
        }
    }

    void onEnded(NetworkExchange e) {
        mActive.remove(e);
    }

    private void closeIdle() {
        mPools.values().forEach(p -> p.closeIdle(mMaxIdleMillis));
    }

    private void closeAll() {
        mStopping = true;
        List.copyOf(mActive).forEach(NetworkExchange::abort);
        mPools.values().forEach(ConnectionPool::close);
    }
}
