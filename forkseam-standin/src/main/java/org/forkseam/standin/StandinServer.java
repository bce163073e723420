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

/** HTTP server with its own event loop thread. Public methods are thread-safe once started. */
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

    /** Creates a server without starting it. */
    public static StandinServer of(String name) {
        return new StandinServer(name);
    }

    /** Returns the loopback address with port 0, to bind to a free port. */
    static InetSocketAddress freeLoopbackPort() {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    }

    /** Returns the event loop of the servlet. */
    public Eventloop loop() {
        return mLoop;
    }

    /** Starts the server. */
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

    /** Returns the address listened on. */
    public InetSocketAddress address() {
        return mAddress;
    }

    /** Returns the base URL. */
    public String url() {
        return "http://" + mAddress.getAddress().getHostAddress() + ":" + mAddress.getPort();
    }

    /** Simulates a crash: closes every connection and stops listening. */
    public void kill() throws InterruptedException, ExecutionException {
        mLoop.submit(this::closeAllChannels).get();
    }

    private void closeAllChannels() {
        for (SelectionKey key : mLoop.getSelector().keys()) {
            try {
                key.channel().close();
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }
    }

    /** Stops the server and its thread. */
    public void stop() throws InterruptedException {
        mLoop.execute(
                () -> {
                    closeAllChannels();
                    mLoop.keepAlive(false);
                    mLoop.breakEventloop();
                });
        mThread.join();
    }
}
