package org.forkseam.platform.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpResponse;

import org.forkseam.direct.io.ConnectionCallback;
import org.forkseam.direct.io.ExchangeFailure;
import org.forkseam.direct.io.HttpConnection;
import org.forkseam.direct.io.ResponseListener;
import org.forkseam.platform.http.HttpExchange.Event;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * One request and its response, as the network thread sees it. Used on the network thread.
 *
 * <p>Reading pauses while the event loop has not delivered {@link #WINDOW_BYTES}.
 */
final class NetworkExchange implements ConnectionCallback, ResponseListener {
    /** Bounds the body bytes between the threads, except for those of the last read. */
    static final int WINDOW_BYTES = 64 << 10;

    /** Header by which a response may name its request. */
    private static final String REQUEST_ID_HEADER = "X-Request-Id";

    private final HttpNetwork mNetwork;
    private final FullHttpRequest mRequest;
    private final String mId;
    private final HttpExchange mEventloopSide;
    private List<Event> mRead = new ArrayList<>();
    private HttpConnection mConnection;
    private boolean mEnded;
    private int mUndelivered;

    NetworkExchange(
            HttpNetwork network,
            FullHttpRequest request,
            String id,
            HttpExchange.Listener listener) {
        mNetwork = network;
        mRequest = request;
        mId = id;
        mEventloopSide = HttpExchange.of(network, this, listener);
    }

    HttpExchange eventloopSide() {
        return mEventloopSide;
    }

    @Override
    public void onConnection(HttpConnection c) {
        if (mEnded) {
            c.release();
            return;
        }
        mConnection = c;
        if (!mId.isEmpty()) {
            c.addRequestId(mId);
        }
        c.send(mRequest, r -> matches(c, r), this);
    }

    /**
     * Returns whether a response may belong to this request. Servers need not return the id, and
     * some return one of their own; only the id of an earlier request shows that it does not.
     */
    private boolean matches(HttpConnection c, HttpResponse r) {
        String id = r.headers().get(REQUEST_ID_HEADER, mId);
        return id.equals(mId) || !c.hasCarried(id);
    }

    @Override
    public void onConnectionFailed(ExchangeFailure failure, String detail) {
        IOException cause = new IOException(failure + " " + detail);
        end(new Event(0, true, l -> l.onNotSent(cause)));
    }

    @Override
    public void onHead(HttpResponse head) {
        int status = head.status().code();
        List<Map.Entry<String, String>> headers = List.copyOf(head.headers().entries());
        mRead.add(new Event(0, false, l -> l.onHead(status, headers)));
    }

    @Override
    public void onBody(ByteBuf bytes) {
        byte[] data = ByteBufUtil.getBytes(bytes);
        mRead.add(new Event(data.length, false, l -> l.onData(data)));
        mUndelivered += data.length;
        if (mUndelivered >= WINDOW_BYTES) {
            mConnection.setAutoRead(false);
        }
    }

    /** Called when the event loop has delivered body bytes to the listener. */
    void onDelivered(int bytes) {
        mUndelivered -= bytes;
        if (mConnection != null && mUndelivered < WINDOW_BYTES) {
            mConnection.setAutoRead(true);
        }
    }

    @Override
    public void onReadComplete() {
        if (mRead.isEmpty()) {
            return;
        }
        List<Event> read = mRead;
        mRead = new ArrayList<>();
        mNetwork.runOnEventloop(() -> mEventloopSide.onEvents(read));
    }

    @Override
    public void onComplete() {
        mConnection = null;
        end(new Event(0, true, HttpExchange.Listener::onEnd));
    }

    @Override
    public void onExchangeFailed(ExchangeFailure failure, String detail) {
        mConnection = null;
        end(Event.failed(failure + " " + detail));
    }

    /** Fails the exchange before it has started. */
    void refuse() {
        end(Event.failed("client stopped"));
    }

    /** Closes the connection without an event. */
    void abort() {
        if (mConnection != null) {
            mConnection.abort();
            mConnection = null;
        }
        mEnded = true;
        mNetwork.onEnded(this);
    }

    private void end(Event last) {
        if (mEnded) {
            return;
        }
        mEnded = true;
        mNetwork.onEnded(this);
        mRead.add(last);
        onReadComplete();
    }
}
