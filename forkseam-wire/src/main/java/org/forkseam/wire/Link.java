package org.forkseam.wire;

import io.netty.channel.Channel;

import org.forkseam.wire.proto.Hello;
import org.forkseam.wire.proto.Packet;

import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;

/**
 * An authenticated connection to another daemon.
 *
 * <p>Thread-safe. Packets are sent in the order of the {@link #send} calls and flushed in batches.
 * The send queue is unbounded; flow control is per stream.
 *
 * @since 0.1
 */
public final class Link {
    private final Channel mChannel;
    private final Hello mPeer;
    private final boolean mOutgoing;
    private final Queue<Packet> mSendQueue = new ConcurrentLinkedQueue<>();
    private final AtomicBoolean mFlushScheduled = new AtomicBoolean();
    private final AtomicLong mLastReadNanos = new AtomicLong(System.nanoTime());
    private final AtomicLong mLastWriteNanos = new AtomicLong(System.nanoTime());

    Link(Channel channel, Hello peer, boolean outgoing) {
        mChannel = channel;
        mPeer = peer;
        mOutgoing = outgoing;
    }

    /** Returns the peer's authenticated {@code Hello}. */
    public Hello peer() {
        return mPeer;
    }

    /** Returns whether this side opened the connection. */
    public boolean isOutgoing() {
        return mOutgoing;
    }

    /** Returns whether packets can still be sent. */
    public boolean isOpen() {
        return mChannel.isActive();
    }

    /** Queues a packet for sending; it is dropped if the link has closed. */
    public void send(Packet packet) {
        mSendQueue.add(packet);
        if (mFlushScheduled.compareAndSet(false, true)) {
            mChannel.eventLoop().execute(this::flushSendQueue);
        }
    }

    /** Closes the link immediately; queued packets may be lost. */
    public void close() {
        mChannel.close();
    }

    /** Returns the milliseconds since the last read. */
    public long millisSinceLastRead() {
        return (System.nanoTime() - mLastReadNanos.get()) / 1_000_000;
    }

    /** Returns the milliseconds since the last write. */
    public long millisSinceLastWrite() {
        return (System.nanoTime() - mLastWriteNanos.get()) / 1_000_000;
    }

    void onRead() {
        mLastReadNanos.set(System.nanoTime());
    }

    private void flushSendQueue() {
        mFlushScheduled.set(false);
        boolean any = false;
        for (Packet p = mSendQueue.poll(); p != null; p = mSendQueue.poll()) {
            mChannel.write(p);
            any = true;
        }
        if (any) {
            mLastWriteNanos.set(System.nanoTime());
            mChannel.flush();
        }
    }

    @Override
    public String toString() {
        return mPeer.getHost() + "@" + mChannel.remoteAddress();
    }
}
