package org.forkseam.direct;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;

import java.io.IOException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.concurrent.CountDownLatch;

/**
 * Stops an event loop between its selection of readable channels and its timers. The timers that
 * become due meanwhile run before anything that arrives meanwhile is read, as after a freeze of the
 * process.
 */
public final class LoopStaller implements AutoCloseable {
    private final Channel mChannel;
    private final DatagramSocket mSender;
    private volatile Stall mStall;

    /** A stall that begins with the next datagram. */
    private static final class Stall {
        private final Runnable mFirst;
        private final CountDownLatch mBegun = new CountDownLatch(1);
        private final CountDownLatch mEnd = new CountDownLatch(1);

        Stall(Runnable first) {
            mFirst = first;
        }

        void run() throws InterruptedException {
            mFirst.run();
            mBegun.countDown();
            mEnd.await();
        }
    }

    private LoopStaller(EventLoop loop) throws IOException, InterruptedException {
        mChannel =
                new Bootstrap()
                        .group(loop)
                        .channel(NioDatagramChannel.class)
                        .handler(new StallingHandler())
                        .bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
                        .sync()
                        .channel();
        mSender = new DatagramSocket();
    }

    /** Runs the stall in the loop's read phase. */
    private final class StallingHandler extends SimpleChannelInboundHandler<DatagramPacket> {
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, DatagramPacket p) throws Exception {
            mStall.run();
        }
    }

    /** Creates a staller of a loop; call it from another thread. */
    public static LoopStaller of(EventLoop loop) throws IOException, InterruptedException {
        return new LoopStaller(loop);
    }

    /** Stalls the loop until {@link #resume}; returns once the loop has stopped. */
    public void stall() throws IOException, InterruptedException {
        stall(() -> {});
    }

    /** Runs a task on the loop and stalls it at once; returns once the loop has stopped. */
    public void stall(Runnable first) throws IOException, InterruptedException {
        mStall = new Stall(first);
        InetSocketAddress to = (InetSocketAddress) mChannel.localAddress();
        mSender.send(new java.net.DatagramPacket(new byte[1], 1, to));
        mStall.mBegun.await();
    }

    /** Ends the stall. */
    public void resume() {
        mStall.mEnd.countDown();
    }

    /** Stalls the loop for a time; returns afterwards. */
    public void stallFor(long millis) throws IOException, InterruptedException {
        stall();
        Thread.sleep(millis);
        resume();
    }

    @Override
    public void close() {
        mSender.close();
        mChannel.close();
    }
}
