package org.forkseam.wire;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.ChannelPromise;
import io.netty.channel.group.ChannelGroup;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.handler.codec.protobuf.ProtobufDecoder;
import io.netty.handler.codec.protobuf.ProtobufEncoder;
import io.netty.handler.ssl.SslContext;

import org.forkseam.wire.proto.Packet;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** Installs the channel pipeline of a new connection, for both directions. Thread-safe. */
final class LinkInitializer extends ChannelInitializer<Channel> {
    private static final int LENGTH_BYTES = 4;

    private final WireSettings mSettings;
    private final LinkHandler mHandler;
    private final WireCounters mCounters;
    private final Optional<SslContext> mSsl;
    private final ChannelGroup mChannels;
    private final CompletableFuture<Link> mOpened;

    /** Creates an initializer; {@code opened} is null for accepted connections. */
    LinkInitializer(
            WireSettings settings,
            LinkHandler handler,
            WireCounters counters,
            Optional<SslContext> ssl,
            ChannelGroup channels,
            CompletableFuture<Link> opened) {
        mSettings = settings;
        mHandler = handler;
        mCounters = counters;
        mSsl = ssl;
        mChannels = channels;
        mOpened = opened;
    }

    @Override
    protected void initChannel(Channel ch) {
        mChannels.add(ch);
        ChannelPipeline p = ch.pipeline();
        mSsl.ifPresent(s -> p.addLast(s.newHandler(ch.alloc())));
        p.addLast(
                new LengthFieldBasedFrameDecoder(
                        mSettings.maxPacketBytes(), 0, LENGTH_BYTES, 0, LENGTH_BYTES));
        p.addLast(new ProtobufDecoder(Packet.getDefaultInstance()));
        p.addLast(new LengthFieldPrepender(LENGTH_BYTES));
        p.addLast(new ProtobufEncoder());
        p.addLast(new SentPacketCounter());
        p.addLast(new LinkChannelHandler(mSettings, mHandler, mCounters, mOpened));
    }

    /** Counts the packets sent. */
    private final class SentPacketCounter extends ChannelOutboundHandlerAdapter {
        @Override
        public void write(ChannelHandlerContext ctx, Object msg, ChannelPromise promise) {
            if (msg instanceof Packet p) {
                mCounters.onSent(p);
            }
            ctx.write(msg, promise);
        }
    }
}
