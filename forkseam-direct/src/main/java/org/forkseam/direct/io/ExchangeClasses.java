package org.forkseam.direct.io;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.DefaultEventLoop;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;

import org.forkseam.core.util.Clock;

import java.nio.charset.StandardCharsets;

/**
 * Loads the classes of an exchange. Loading them takes longer than the timeouts of some clients, so
 * that their first exchange would fail. Thread-safe.
 *
 * @since 0.13
 */
public final class ExchangeClasses {
    private static final String RESPONSE = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    private static final String NO_ADDRESS = "127.0.0.1:1";

    private static boolean sLoaded;

    private ExchangeClasses() {}

    /** Loads the classes by an exchange without a network, unless they are loaded. */
    public static synchronized void load() {
        if (sLoaded) {
            return;
        }
        sLoaded = true;
        DefaultEventLoop loop = new DefaultEventLoop(); // starts no thread without a task
        HttpConnection c =
                new HttpConnection(
                        ConnectionPool.of(Connector.of(loop), Clock.monotonic(), NO_ADDRESS));
        EmbeddedChannel channel = new EmbeddedChannel();
        Connector.addHandlers(channel.pipeline(), c);
        c.send(
                new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/"),
                r -> true,
                new Ignoring());
        channel.releaseOutbound();
        channel.writeInbound(Unpooled.copiedBuffer(RESPONSE, StandardCharsets.US_ASCII));
        channel.finishAndReleaseAll();
    }

    /** Ignores the response. */
    private static final class Ignoring implements ResponseListener {
        @Override
        public void onHead(HttpResponse head) {}

        @Override
        public void onBody(ByteBuf bytes) {}

        @Override
        public void onComplete() {}

        @Override
        public void onExchangeFailed(ExchangeFailure failure, String detail) {}
    }
}
