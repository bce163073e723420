package org.forkseam.direct.io;

import static com.google.common.truth.Truth.assertThat;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;

import org.forkseam.direct.LoopStaller;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** Tests that tasks behind the barrier run after the input that arrived before them. */
class ReadBarrierTest {
    private static final long WAIT_SECONDS = 10;

    private static final int CHANNELS = 1_000;

    private final MultiThreadIoEventLoopGroup mGroup =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop mLoop = (EventLoop) mGroup.next();
    private final ReadBarrier mBarrier = ReadBarrier.of(mLoop);
    private final AtomicInteger mRead = new AtomicInteger();
    private final List<Channel> mChannels = new ArrayList<>();
    private LoopStaller mStaller;

    @BeforeEach
    void createStaller() throws Exception {
        mStaller = LoopStaller.of(mLoop);
    }

    @AfterEach
    void stopLoop() {
        mStaller.close();
        mGroup.shutdownGracefully(0, 0, TimeUnit.SECONDS).awaitUninterruptibly();
    }

    /** Opens channels that count the datagrams they receive. */
    private void openChannels(int count) throws Exception {
        Bootstrap b =
                new Bootstrap()
                        .group(mLoop)
                        .channel(NioDatagramChannel.class)
                        .handler(
                                new ChannelInitializer<Channel>() {
                                    @Override
                                    protected void initChannel(Channel c) {
                                        c.pipeline().addLast(new Counter());
                                    }
                                });
        InetSocketAddress any = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        for (int i = 0; i < count; i++) {
            mChannels.add(b.bind(any).sync().channel());
        }
    }

    /** Counts datagrams. */
    private final class Counter extends SimpleChannelInboundHandler<DatagramPacket> {
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, DatagramPacket p) {
            mRead.incrementAndGet();
        }
    }

    private void sendToAll() throws Exception {
        try (DatagramSocket s = new DatagramSocket()) {
            for (Channel c : mChannels) {
                s.send(
                        new java.net.DatagramPacket(
                                new byte[1], 1, (InetSocketAddress) c.localAddress()));
            }
        }
    }

    /** Schedules a timeout that records how many datagrams were read before it. */
    private CompletableFuture<Integer> scheduleTimeout(long millis) {
        CompletableFuture<Integer> read = new CompletableFuture<>();
        mLoop.execute(() -> mBarrier.schedule(millis, () -> read.complete(mRead.get())));
        return read;
    }

    @Test
    void timeoutRunsAfterAllThatArrivedDuringAStall() throws Exception {
        openChannels(CHANNELS);
        CompletableFuture<Integer> read = scheduleTimeout(50);
        mStaller.stall();
        sendToAll();
        Thread.sleep(100);
        mStaller.resume();
        assertThat(read.get(WAIT_SECONDS, TimeUnit.SECONDS)).isEqualTo(CHANNELS);
    }

    /** Shows that the order of events is the one against which the barrier guards. */
    @Test
    void timerWithoutBarrierRunsBeforeTheReads() throws Exception {
        openChannels(1);
        CompletableFuture<Integer> read = new CompletableFuture<>();
        mLoop.schedule(() -> read.complete(mRead.get()), 50, TimeUnit.MILLISECONDS);
        mStaller.stall();
        sendToAll();
        Thread.sleep(100);
        mStaller.resume();
        assertThat(read.get(WAIT_SECONDS, TimeUnit.SECONDS)).isEqualTo(0);
    }

    /** A barrier in the middle of an iteration's reads awaits the whole next iteration. */
    @Test
    void barrierDuringReadsAwaitsTheNextIteration() throws Exception {
        openChannels(1);
        CompletableFuture<Integer> read = new CompletableFuture<>();
        mStaller.stall(() -> mBarrier.afterReads(() -> read.complete(mRead.get())));
        sendToAll();
        mStaller.resume();
        assertThat(read.get(WAIT_SECONDS, TimeUnit.SECONDS)).isEqualTo(1);
    }

    /** Guards against a barrier that repeated stalls postpone beyond the next iteration. */
    @Test
    void repeatedStallsDoNotPostponeTheBarrier() throws Exception {
        CompletableFuture<Integer> iterations = new CompletableFuture<>();
        AtomicInteger count = new AtomicInteger();
        mLoop.execute(
                () -> {
                    mBarrier.afterReads(() -> iterations.complete(count.get()));
                    stallEachIteration(count, iterations);
                });
        assertThat(iterations.get(WAIT_SECONDS, TimeUnit.SECONDS)).isAtMost(2);
    }

    /** Blocks each iteration for a time. */
    private void stallEachIteration(AtomicInteger count, Future<?> end) {
        count.incrementAndGet();
        try {
            Thread.sleep(50);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        if (!end.isDone()) {
            mLoop.schedule(() -> stallEachIteration(count, end), 0, TimeUnit.MILLISECONDS);
        }
    }

    @Test
    void cancelledTimeoutDoesNotRun() throws Exception {
        AtomicInteger runs = new AtomicInteger();
        Future<?> timeout = mLoop.submit(() -> mBarrier.schedule(20, runs::incrementAndGet)).get();
        timeout.cancel(false);
        CompletableFuture<Integer> later = scheduleTimeout(40);
        later.get(WAIT_SECONDS, TimeUnit.SECONDS);
        assertThat(runs.get()).isEqualTo(0);
    }
}
