package org.forkseam.daemon.router;

import io.activej.bytebuf.ByteBuf;
import io.activej.common.inspector.AbstractInspector;
import io.activej.http.HttpRequest;
import io.activej.http.HttpServerConnection;
import io.activej.net.socket.tcp.TcpSocket;

import java.io.IOException;
import java.nio.ByteBuffer;

/**
 * Detects callers that disconnect while their request is being processed. Not thread-safe: used on
 * the event loop only.
 *
 * <p>The HTTP server does not read from a connection while a response is pending, so it would
 * notice a disconnect only on write. This class maps connections to sockets and checks for end of
 * stream itself. The check consumes a byte of a pipelined request, which then fails with status
 * 400: pipelining is not supported.
 */
final class CallerDisconnectDetector extends AbstractInspector<TcpSocket.Inspector>
        implements TcpSocket.Inspector {
    private final ByteBuffer mByte = ByteBuffer.allocate(1);
    private TcpSocket mLastRead;

    /** Returns the socket of a request; must be called when the request is first received. */
    TcpSocket socketOf(HttpRequest http) {
        HttpServerConnection c = http.getConnection();
        if (c.getUserData() == null) {
            // The first request of a connection is dispatched during the read of its headers.
            c.setUserData(mLastRead);
        }
        return (TcpSocket) c.getUserData();
    }

    /** Returns whether the caller has closed its connection. */
    boolean isDisconnected(TcpSocket socket) {
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
