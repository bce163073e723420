package org.forkseam.daemon.router;

import io.activej.bytebuf.ByteBuf;
import io.activej.common.inspector.AbstractInspector;
import io.activej.http.HttpRequest;
import io.activej.http.HttpServerConnection;
import io.activej.net.socket.tcp.TcpSocket;

import java.io.IOException;
import java.nio.ByteBuffer;

/**
 * Tells whether the caller of a request that is being served has hung up.
 *
 * <p>The HTTP library does not read from a connection while it awaits the answer, so it notices a
 * caller who left only when it writes; a queued request would keep its place. This class learns
 * which socket belongs to which connection and looks for the end of the stream itself. A caller
 * that sends its next request before the answer loses the first byte of it and gets a 400:
 * pipelining is not served. Used on the event loop.
 */
final class CallerSockets extends AbstractInspector<TcpSocket.Inspector>
        implements TcpSocket.Inspector {
    private final ByteBuffer mByte = ByteBuffer.allocate(1);
    private TcpSocket mLastRead;

    /** Returns the socket of a request; must be called as soon as the request is handed over. */
    TcpSocket of(HttpRequest http) {
        HttpServerConnection c = http.getConnection();
        if (c.getUserData() == null) {
            // A connection's first request is handed over within the read that brought its head.
            c.setUserData(mLastRead);
        }
        return (TcpSocket) c.getUserData();
    }

    /** Returns whether the other side has closed its connection. */
    boolean isGone(TcpSocket socket) {
        if (socket.isClosed()) {
            return true;
        }
        try {
            mByte.clear();
            return socket.getSocketChannel().read(mByte) < 0;
        } catch (IOException e) {
            return true; // reset by the caller
        }
    }

    @Override
    public void onRead(TcpSocket socket, ByteBuf buf) {
        mLastRead = socket;
    }

    @Override
    public void onConnect(TcpSocket socket) {}

    @Override
    public void onReadTimeout(TcpSocket socket) {}

    @Override
    public void onReadEndOfStream(TcpSocket socket) {}

    @Override
    public void onReadError(TcpSocket socket, IOException e) {}

    @Override
    public void onWriteTimeout(TcpSocket socket) {}

    @Override
    public void onWrite(TcpSocket socket, ByteBuf buf, int bytes) {}

    @Override
    public void onWriteError(TcpSocket socket, IOException e) {}

    @Override
    public void onDisconnect(TcpSocket socket) {}
}
