package org.forkseam.direct.flow;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.http.HttpDecoderConfig;

import org.forkseam.core.traffic.CallerLimits;
import org.forkseam.direct.io.EarlyServerSocket;

import java.util.concurrent.CompletableFuture;

/** Accepts connections from callers. Used on the event loop. */
final class CallerServer {
    private final EventLoopGroup mGroup;
    private final RouterContext mContext;
    private final int mMaxConnections;
    private Channel mListener;

    /**
     * Creates a server.
     *
     * @param maxConnections open connections, beyond which one is closed for each new one
     */
    CallerServer(EventLoopGroup group, RouterContext context, int maxConnections) {
        mGroup = group;
        mContext = context;
        mMaxConnections = maxConnections;
    }

    CompletableFuture<Void> serve(EarlyServerSocket listener) {
        ChannelInitializer<Channel> connections =
                new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel ch) {
                        accept(ch);
                    }
                };
        return listener.serve(mGroup, connections).thenAccept(c -> mListener = c);
    }

    private void accept(Channel ch) {
        if (mContext.connections().size() >= mMaxConnections && !closeAnother()) {
            mContext.meters().onMemoryRefusal("connection");
            ch.close();
            return;
        }
        CallerLimits limits = mContext.fleetState().config().limits();
        CallerConnection connection =
                new CallerConnection(mContext, mContext.arrivalTracker().next());
        HttpDecoderConfig config =
                new HttpDecoderConfig()
                        .setMaxInitialLineLength(limits.headerBytes())
                        .setMaxHeaderSize(limits.headerBytes());
        RequestDecoder decoder = new RequestDecoder(config, connection::mayDecode);
        RequestReader reader = new RequestReader(connection, decoder, limits.bodyBytes());
        connection.setInput(decoder, reader);
        ch.pipeline()
                .addLast(
                        new ChannelInboundHandlerAdapter() {
                            @Override
                            public void channelRead(ChannelHandlerContext ctx, Object msg) {
                                connection.onBytes();
                                ctx.fireChannelRead(msg);
                            }
                        })
                .addLast(decoder)
                .addLast(new ResponseEncoder(connection::isBodiless))
                .addLast(reader)
                .addLast(connection);
    }

    /**
     * Closes the connection that can best be spared: the longest idle one, else the newest whose
     * request is not complete. Returns false if all serve requests.
     */
    private boolean closeAnother() {
        CallerConnection spared = null;
        for (CallerConnection c : mContext.connections()) {
            if (!c.isSparable()) {
                continue;
            }
            boolean better =
                    spared == null
                            || c.isIdle() && (!spared.isIdle() || c.lastUse() < spared.lastUse())
                            || !c.isIdle() && !spared.isIdle();
            spared = better ? c : spared;
        }
        if (spared == null) {
            return false;
        }
        mContext.meters().onMemoryRefusal(spared.isIdle() ? "idle" : "unfinished");
        spared.close();
        return true;
    }

    /** Closes the listening socket; open connections are kept. */
    void closeListener() {
        if (mListener != null) {
            mListener.close();
        }
    }
}
