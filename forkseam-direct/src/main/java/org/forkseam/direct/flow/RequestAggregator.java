package org.forkseam.direct.flow;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.http.FullHttpMessage;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;

/**
 * Collects the body of each request of a caller. Used on the event loop.
 *
 * <p>Netty's aggregator writes its own responses at once, before those to earlier requests on the
 * connection; a caller would take each for the response to another request. Here the connection
 * sends them in order.
 */
final class RequestAggregator extends HttpObjectAggregator {
    private final CallerConnection mConnection;

    /**
     * Creates an aggregator.
     *
     * @param maxBytes largest body that is not refused
     */
    RequestAggregator(CallerConnection connection, int maxBytes) {
        super(maxBytes);
        mConnection = connection;
    }

    @Override
    protected Object newContinueResponse(HttpMessage start, int maxBytes, ChannelPipeline p) {
        // A body that is too large is refused below.
        if (HttpUtil.is100ContinueExpected(start)
                && HttpUtil.getContentLength(start, 0L) <= maxBytes) {
            mConnection.onContinueExpected();
        }
        return null;
    }

    @Override
    protected boolean isContentLengthInvalid(HttpMessage start, int maxBytes) {
        return expectsOther(start) || super.isContentLengthInvalid(start, maxBytes);
    }

    /** Returns whether a request expects what only later versions of HTTP may define. */
    private static boolean expectsOther(HttpMessage m) {
        return expects(m) && !HttpUtil.is100ContinueExpected(m);
    }

    private static boolean expects(HttpMessage m) {
        return HttpVersion.HTTP_1_1.equals(m.protocolVersion())
                && m.headers().contains(HttpHeaderNames.EXPECT);
    }

    @Override
    protected void handleOversizedMessage(ChannelHandlerContext ctx, HttpMessage m) {
        // Whether a caller that expects a response sends the body nevertheless is not known.
        boolean bodyEnds = !(m instanceof FullHttpMessage) && !expects(m);
        mConnection.refuseBody(
                (HttpRequest) m,
                expectsOther(m)
                        ? HttpResponseStatus.EXPECTATION_FAILED
                        : HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE,
                bodyEnds && HttpUtil.isKeepAlive(m));
    }
}
