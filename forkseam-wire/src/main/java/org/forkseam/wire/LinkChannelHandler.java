package org.forkseam.wire;

import com.google.protobuf.ByteString;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.DecoderException;
import io.netty.util.concurrent.ScheduledFuture;

import org.forkseam.wire.proto.Hello;
import org.forkseam.wire.proto.Packet;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/**
 * Performs the mutual challenge-response handshake, then passes packets to the {@link LinkHandler}.
 *
 * <p>The accepting side sends its nonce first, the connecting side replies with its proof and its
 * own nonce, and the accepting side finishes with its proof. A peer that fails the handshake is
 * disconnected before any other packet is processed. Confined to the channel's event loop.
 */
final class LinkChannelHandler extends ChannelInboundHandlerAdapter {
    private static final Logger LOG = LoggerFactory.getLogger(LinkChannelHandler.class);

    private final WireSettings mSettings;
    private final LinkHandler mHandler;
    private final WireCounters mCounters;
    private final CompletableFuture<Link> mOpened;
    private final ByteString mNonce = WireIdentity.nonce();
    private ScheduledFuture<?> mTimeout;
    private Link mLink;
    private List<Packet> mBatch = new ArrayList<>();

    LinkChannelHandler(
            WireSettings settings,
            LinkHandler handler,
            WireCounters counters,
            CompletableFuture<Link> opened) {
        mSettings = settings;
        mHandler = handler;
        mCounters = counters;
        mOpened = opened;
    }

    private boolean isOutgoing() {
        return mOpened != null;
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        mTimeout =
                ctx.executor()
                        .schedule(
                                () -> reject(ctx, "handshake timed out"),
                                mSettings.handshakeMillis(),
                                TimeUnit.MILLISECONDS);
        if (!isOutgoing()) {
            sendHello(ctx, ByteString.EMPTY);
        }
    }

    private void sendHello(ChannelHandlerContext ctx, ByteString otherNonce) {
        Hello h = mSettings.identity().hello(mNonce, otherNonce);
        ctx.writeAndFlush(Packet.newBuilder().setHello(h).build());
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object msg) {
        Packet p = (Packet) msg;
        if (mLink != null) {
            mBatch.add(p);
            return;
        }
        if (!p.hasHello()) {
            reject(ctx, "packet received before the handshake completed");
            return;
        }
        onHello(ctx, p.getHello());
    }

    private void onHello(ChannelHandlerContext ctx, Hello hello) {
        if (isOutgoing() && hello.getProof().isEmpty()) {
            sendHello(ctx, hello.getNonce());
            return;
        }
        if (!mSettings.identity().verifyProof(hello, mNonce)) {
            reject(ctx, "invalid proof of the shared key");
            return;
        }
        mTimeout.cancel(false);
        mLink = new Link(ctx.channel(), hello, isOutgoing());
        if (isOutgoing()) {
            mOpened.complete(mLink);
        } else {
            sendHello(ctx, hello.getNonce());
        }
    }

    private void reject(ChannelHandlerContext ctx, String why) {
        if (mLink != null || !ctx.channel().isActive()) {
            return;
        }
        mCounters.onRejectedPeer();
        LOG.warn("event=peer-rejected peer={} reason=\"{}\"", ctx.channel().remoteAddress(), why);
        ctx.close();
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        if (mLink != null && !mBatch.isEmpty()) {
            List<Packet> batch = mBatch;
            mBatch = new ArrayList<>();
            mLink.onRead();
            mHandler.onPackets(mLink, batch);
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        if (mTimeout != null) {
            mTimeout.cancel(false);
        }
        if (mLink != null) {
            mHandler.onClosed(mLink);
        } else if (isOutgoing()) {
            mOpened.completeExceptionally(
                    new IOException("connection closed before the handshake completed"));
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        if (cause instanceof DecoderException) {
            mCounters.onMalformed();
        }
        LOG.debug("event=link-error peer={}", ctx.channel().remoteAddress(), cause);
        ctx.close();
    }
}
