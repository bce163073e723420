package org.forkseam.direct.io;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.DefaultEventLoop;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;

import org.forkseam.core.util.Clock;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * A connection whose bytes a test delivers itself, each write as one read. Requests are numbered
 * from 1, and their ids are {@code r1}, {@code r2} and so on.
 */
final class EmbeddedExchange {
    /** How a text is divided into reads. */
    enum Segments {
        ONE_READ,
        EACH_BYTE,
    }

    private final Connector mConnector = Connector.of(new DefaultEventLoop());
    private final HttpConnection mConnection =
            new HttpConnection(ConnectionPool.of(mConnector, Clock.monotonic(), "127.0.0.1:1"));
    private final EmbeddedChannel mChannel = new EmbeddedChannel();
    private final List<String> mEnds = new ArrayList<>();
    private int mRequests;

    EmbeddedExchange() {
        Connector.addHandlers(mChannel.pipeline(), mConnection);
    }

    /** Sends the next request. */
    void send(HttpMethod method) {
        FullHttpRequest r = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, method, "/");
        String id = "r" + ++mRequests;
        mConnection.send(r, h -> id.equals(h.headers().get("Request-Id")), new Recorder());
        mChannel.releaseOutbound();
    }

    void receive(String text, Segments segments) {
        if (segments == Segments.ONE_READ) {
            receive(text);
            return;
        }
        for (char c : text.toCharArray()) {
            receive(String.valueOf(c));
        }
    }

    void receive(String text) {
        if (!text.isEmpty() && mChannel.isOpen()) {
            mChannel.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1));
        }
        mChannel.runPendingTasks();
    }

    void closeByServer() {
        mChannel.close();
        mChannel.runPendingTasks();
    }

    /** Returns how the requests ended: {@code END 200 body}, or the failure. */
    List<String> ends() {
        return mEnds;
    }

    /** Returns how the last request ended, or an empty text if it has not ended. */
    String lastEnd() {
        return mEnds.size() < mRequests ? "" : mEnds.get(mEnds.size() - 1);
    }

    boolean isUsable() {
        return mConnection.isUsable();
    }

    boolean isOpen() {
        return mChannel.isOpen();
    }

    long surplus(SurplusKind kind) {
        return mConnector.surplus().occurrences(kind);
    }

    long surplusBytes(SurplusKind kind) {
        return mConnector.surplus().bytes(kind);
    }

    /** Records how a request ends. */
    private final class Recorder implements ResponseListener {
        private final StringBuilder mBody = new StringBuilder();
        private int mStatus;

        @Override
        public void onHead(HttpResponse head) {
            mStatus = head.status().code();
        }

        @Override
        public void onBody(ByteBuf bytes) {
            mBody.append(bytes.toString(StandardCharsets.ISO_8859_1));
        }

        @Override
        public void onComplete() {
            mEnds.add(("END " + mStatus + " " + mBody).strip());
        }

        @Override
        public void onExchangeFailed(ExchangeFailure failure, String detail) {
            mEnds.add(failure.toString());
        }
    }
}
