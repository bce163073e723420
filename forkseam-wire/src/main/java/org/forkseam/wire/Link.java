package org.forkseam.wire;

import io.netty.channel.Channel;

import org.forkseam.wire.proto.Hello;
import org.forkseam.wire.proto.Packet;

import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Is one proven connection to another daemon.
 *
 * <p>Thread-safe. Packets sent from any thread go out in the order of the calls, several to one
 * write. What is sent is bounded by the streams' credit, so the link itself keeps no bound.
 *
 * @since 0.1
 */
public final class Link {
    private final Channel mChannel;
    private final Hello mPeer;
    private final boolean mOutgoing;
    private final Queue<Packet> mOutbox = new ConcurrentLinkedQueue<>();
    private final AtomicBoolean mDraining = new AtomicBoolean();
    private final AtomicLong mLastReadNanos = new AtomicLong(System.nanoTime());
    private final AtomicLong mLastWriteNanos = new AtomicLong(System.nanoTime());

    Link(Channel channel, Hello peer, boolean outgoing) {
        mChannel = channel;
        mPeer = peer;
        mOutgoing = outgoing;
    }

    /** Returns what the other side said of itself, after it proved the shared key. */
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

    /** Sends a packet; it is dropped if the link has closed, which the handler is told. */
    public void send(Packet packet) {
        mOutbox.add(packet);
        if (mDraining.compareAndSet(false, true)) {
            mChannel.eventLoop().execute(this::drain);
        }
    }

    /** Closes the link at once. */
    public void close() {
        mChannel.close();
    }

    /** Returns milliseconds since anything was read. */
    public long silentMillis() {
        return (System.nanoTime() - mLastReadNanos.get()) / 1_000_000;
    }

    /** Returns milliseconds since anything was sent. */
    public long unsentMillis() {
        return (System.nanoTime() - mLastWriteNanos.get()) / 1_000_000;
    }

    void onRead() {
        mLastReadNanos.set(System.nanoTime());
    }

    private void drain() {
        mDraining.set(false);
        boolean any = false;
        for (Packet p = mOutbox.poll(); p != null; p = mOutbox.poll()) {
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
