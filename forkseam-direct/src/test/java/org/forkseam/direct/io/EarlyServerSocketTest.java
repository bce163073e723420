package org.forkseam.direct.io;

import static com.google.common.truth.Truth.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.NioIoHandler;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.concurrent.TimeUnit;

/** Tests that connections made before the event loop serves the socket are not refused. */
class EarlyServerSocketTest {
    private static final int TIMEOUT_MILLIS = 5_000;

    private final MultiThreadIoEventLoopGroup mGroup =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

    @AfterEach
    void stop() {
        mGroup.shutdownGracefully(0, 0, TimeUnit.SECONDS);
    }

    /** Echoes received bytes. */
    private static final class Echo extends ChannelInitializer<Channel> {
        @Override
        protected void initChannel(Channel ch) {
            ch.pipeline()
                    .addLast(
                            new SimpleChannelInboundHandler<ByteBuf>() {
                                @Override
                                protected void channelRead0(ChannelHandlerContext ctx, ByteBuf b) {
                                    ctx.writeAndFlush(b.retain());
                                }
                            });
        }
    }

    @Test
    void earlyConnectionsAreServed() throws Exception {
        EarlyServerSocket listener = EarlyServerSocket.open(new InetSocketAddress("127.0.0.1", 0));
        try (Socket before = connect(listener)) {
            before.getOutputStream().write('a');
            Channel serving = listener.serve(mGroup, new Echo()).get(5, TimeUnit.SECONDS);
            assertThat(before.getInputStream().read()).isEqualTo('a');
            try (Socket after = connect(listener)) {
                after.getOutputStream().write('b');
                assertThat(after.getInputStream().read()).isEqualTo('b');
            }
            serving.close().sync();
        }
    }

    @Test
    void closingTheChannelRefusesCallers() throws Exception {
        EarlyServerSocket listener = EarlyServerSocket.open(new InetSocketAddress("127.0.0.1", 0));
        listener.serve(mGroup, new Echo()).get(5, TimeUnit.SECONDS).close().sync();
        boolean refused = false;
        try (Socket s = connect(listener)) {
            refused = s.getInputStream().read() < 0;
        } catch (IOException e) {
            refused = true;
        }
        assertThat(refused).isTrue();
    }

    private static Socket connect(EarlyServerSocket listener) throws IOException {
        Socket s = new Socket();
        s.connect(listener.address(), TIMEOUT_MILLIS);
        s.setSoTimeout(TIMEOUT_MILLIS);
        return s;
    }
}
