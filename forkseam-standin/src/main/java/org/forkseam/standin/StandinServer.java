package org.forkseam.standin;

import io.activej.eventloop.Eventloop;
import io.activej.http.AsyncServlet;
import io.activej.http.HttpServer;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.channels.SelectionKey;
import java.util.concurrent.ExecutionException;

/** Runs one HTTP server on an event loop of its own; port 0 takes a free one. */
public final class StandinServer {
    private static final int MAX_BODY_BYTES = 32 << 20;

    private final Eventloop mLoop;
    private final Thread mThread;
    private HttpServer mServer;
    private InetSocketAddress mAddress;

    private StandinServer(String name) {
        mLoop = Eventloop.builder().withThreadName(name).build();
        mThread = new Thread(mLoop, name);
        mThread.setDaemon(true);
    }

    /** Creates a server that has yet to be started. */
    public static StandinServer of(String name) {
        return new StandinServer(name);
    }

    /** Returns an address of the loopback with a free port. */
    static InetSocketAddress anyPort() {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    }

    /** Returns the event loop that the servlet runs on. */
    public Eventloop loop() {
        return mLoop;
    }

    /** Starts serving. */
    public StandinServer start(InetSocketAddress listen, AsyncServlet servlet)
            throws InterruptedException, ExecutionException {
        mLoop.keepAlive(true);
        mThread.start();
        listen(listen, servlet);
        mAddress = mServer.getBoundAddresses().get(0);
        return this;
    }

    private void listen(InetSocketAddress listen, AsyncServlet servlet)
            throws InterruptedException, ExecutionException {
        mLoop.submit(
                        () -> {
                            mServer =
                                    HttpServer.builder(mLoop, servlet)
                                            .withListenAddress(listen)
                                            .withMaxBodySize(MAX_BODY_BYTES)
                                            .build();
                            mServer.listen();
                        })
                .get();
    }

    /** Returns where the server listens. */
    public InetSocketAddress address() {
        return mAddress;
    }

    /** Returns the base URL. */
    public String url() {
        return "http://" + mAddress.getAddress().getHostAddress() + ":" + mAddress.getPort();
    }

    /** Closes every connection at once and stops listening, as a crash would. */
    public void kill() throws InterruptedException, ExecutionException {
        mLoop.submit(this::closeAll).get();
    }

    private void closeAll() {
        for (SelectionKey key : mLoop.getSelector().keys()) {
            try {
                key.channel().close();
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }
    }

    /** Ends the event loop. */
    public void stop() throws InterruptedException {
        mLoop.execute(
                () -> {
                    closeAll();
                    mLoop.keepAlive(false);
                    mLoop.breakEventloop();
                });
        mThread.join();
    }
}
