package org.forkseam.direct.know;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;

import org.forkseam.core.util.BoundedMap;
import org.forkseam.direct.io.Addresses;
import org.forkseam.direct.log.Event;

import java.net.InetSocketAddress;
import java.util.Collection;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiConsumer;

/**
 * Sends and receives datagrams between routers. Datagrams may be lost or delayed; a router that
 * receives none reads the store itself. Confined to the event loop.
 */
final class PeerChannel {
    /** Parsed addresses cached. */
    private static final int MAX_ADDRESSES = 1_024;

    private final EventLoop mLoop;
    private final BiConsumer<PeerMessage, InetSocketAddress> mListener;
    private final Map<String, InetSocketAddress> mAddresses = BoundedMap.byAccess(MAX_ADDRESSES);
    private Channel mChannel;

    PeerChannel(EventLoop loop, BiConsumer<PeerMessage, InetSocketAddress> listener) {
        mLoop = loop;
        mListener = listener;
    }

    CompletableFuture<Void> listen(InetSocketAddress address) {
        CompletableFuture<Void> bound = new CompletableFuture<>();
        new Bootstrap()
                .group(mLoop)
                .channel(NioDatagramChannel.class)
                .handler(
                        new SimpleChannelInboundHandler<DatagramPacket>() {
                            @Override
                            protected void channelRead0(
                                    ChannelHandlerContext ctx, DatagramPacket p) {
                                PeerCodec.read(p.content())
                                        .ifPresent(m -> mListener.accept(m, p.sender()));
                            }

                            @Override
                            public void exceptionCaught(
                                    ChannelHandlerContext ctx, Throwable cause) {
                                Event.of("peer_channel").with("cause", cause.getMessage()).log();
                            }
                        })
                .bind(address)
                .addListener(
                        (io.netty.channel.ChannelFuture f) -> {
                            if (f.isSuccess()) {
                                mChannel = f.channel();
                                bound.complete(null);
                            } else {
                                bound.completeExceptionally(f.cause());
                            }
                        });
        return bound;
    }

    /** Sends a message; returns false if it is too long for a datagram. */
    boolean send(PeerMessage message, Collection<String> addresses) {
        Optional<ByteBuf> bytes = PeerCodec.write(message);
        if (bytes.isEmpty()) {
            return false;
        }
        if (mChannel == null) {
            return true; // not bound yet; the message is dropped
        }
        for (String a : addresses) {
            mChannel.write(new DatagramPacket(bytes.get().retainedDuplicate(), address(a)));
        }
        mChannel.flush();
        bytes.get().release();
        return true;
    }

    /** Sends a message to one address; dropped if it is too long for a datagram. */
    void send(PeerMessage message, InetSocketAddress address) {
        Optional<ByteBuf> bytes = PeerCodec.write(message);
        if (bytes.isPresent() && mChannel != null) {
            mChannel.writeAndFlush(new DatagramPacket(bytes.get(), address));
        }
    }

    InetSocketAddress address(String text) {
        return mAddresses.computeIfAbsent(text, Addresses::parse);
    }

    void close() {
        if (mChannel != null) {
            mChannel.close();
        }
    }
}
