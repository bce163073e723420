package org.forkseam.direct.know;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;

import org.forkseam.direct.io.Addresses;
import org.forkseam.direct.log.Event;

import java.net.InetSocketAddress;
import java.util.Collection;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiConsumer;

/**
 * Carries notices between routers. Datagrams may be lost or late: each router reads for itself when
 * it hears nothing. Used on the event loop.
 */
final class PeerChannel {
    private final EventLoop mLoop;
    private final BiConsumer<PeerNotice, InetSocketAddress> mListener;
    private Channel mChannel;

    PeerChannel(EventLoop loop, BiConsumer<PeerNotice, InetSocketAddress> listener) {
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
                                PeerNotice.read(p.content())
                                        .ifPresent(n -> mListener.accept(n, p.sender()));
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

    void send(PeerNotice notice, Collection<String> addresses) {
        if (mChannel == null) {
            return;
        }
        for (String a : addresses) {
            mChannel.write(new DatagramPacket(notice.write(), Addresses.parse(a)));
        }
        mChannel.flush();
    }

    void close() {
        if (mChannel != null) {
            mChannel.close();
        }
    }
}
