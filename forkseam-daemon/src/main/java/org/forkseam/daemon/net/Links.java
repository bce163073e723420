package org.forkseam.daemon.net;

import io.activej.eventloop.Eventloop;

import org.forkseam.core.kernel.Service;
import org.forkseam.daemon.cfg.Settings;
import org.forkseam.wire.Link;
import org.forkseam.wire.LinkHandler;
import org.forkseam.wire.WireCounters;
import org.forkseam.wire.WireSettings;
import org.forkseam.wire.WireTransport;
import org.forkseam.wire.proto.Packet;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * Keeps the links to other daemons. This is the one place where the network thread and the event
 * loop meet: everything but the life-cycle is called, and every sink and future completes, on the
 * loop.
 *
 * @since 0.1
 */
public final class Links implements Service, LinkHandler {
    /** Name of the service. */
    public static final String NAME = "links";

    /** A link that carries a request is never silent for so long, since its sidecar speaks. */
    private static final long IDLE_MILLIS = 10_000;

    private static final long TICK_MILLIS = 1_000;

    private final Eventloop mLoop;
    private final WireTransport mWire;
    private final InetSocketAddress mListen;
    private final List<PacketSink> mSinks = new CopyOnWriteArrayList<>();
    private final Map<String, CompletableFuture<Link>> mOutgoing = new HashMap<>();
    private final Set<Link> mIncoming = new HashSet<>();

    private Links(Eventloop loop, WireSettings settings, InetSocketAddress listen) {
        mLoop = loop;
        mWire = WireTransport.of(settings, this);
        mListen = listen;
    }

    /** Creates the links of a daemon that listens on an address. */
    public static Links of(Eventloop loop, WireSettings settings, InetSocketAddress listen) {
        return new Links(loop, settings, listen);
    }

    // ---------------------------------------------------------------- life-cycle

    @Override
    public String name() {
        return NAME;
    }

    @Override
    public CompletableFuture<Void> start() {
        mWire.start(Optional.of(mListen));
        mLoop.execute(this::closeIdle);
        return CompletableFuture.completedFuture(null);
    }

    @Override
    public CompletableFuture<Void> stop() {
        return CompletableFuture.runAsync(mWire::stop);
    }

    @Override
    public Object dump() {
        List<String> open = new ArrayList<>();
        open().forEach(l -> open.add(l.toString()));
        return Map.of("open", open, "listen", mWire.address().toString());
    }

    /** Closes links that nobody uses, or news to random daemons would in time open one to each. */
    private void closeIdle() {
        open().stream().filter(Links::isIdle).forEach(Link::close);
        mLoop.delayBackground(TICK_MILLIS, this::closeIdle);
    }

    private static boolean isIdle(Link link) {
        return link.isOutgoing()
                && link.millisSinceLastRead() > IDLE_MILLIS
                && link.millisSinceLastWrite() > IDLE_MILLIS;
    }

    // ---------------------------------------------------------------- public API

    /** Adds a receiver of packets. */
    public void addSink(PacketSink sink) {
        mSinks.add(sink);
    }

    /** Removes a receiver of packets. */
    public void removeSink(PacketSink sink) {
        mSinks.remove(sink);
    }

    /** Returns the address on which other daemons are accepted. */
    public InetSocketAddress address() {
        return mWire.address();
    }

    /** Returns what has crossed the links. */
    public WireCounters counters() {
        return mWire.counters();
    }

    /** Returns the link to an address, opening one if there is none. */
    public CompletableFuture<Link> to(String address) {
        CompletableFuture<Link> known = mOutgoing.get(address);
        if (known != null) {
            return known;
        }
        CompletableFuture<Link> opened = new CompletableFuture<>();
        mOutgoing.put(address, opened);
        mWire.connect(Settings.parseAddress(address))
                .whenComplete((link, e) -> mLoop.execute(() -> settle(address, opened, link, e)));
        return opened;
    }

    private void settle(
            String address, CompletableFuture<Link> opened, Link link, Throwable failure) {
        if (failure == null && link.isOpen()) {
            opened.complete(link);
            return;
        }
        mOutgoing.remove(address, opened);
        opened.completeExceptionally(
                failure != null ? failure : new IOException("closed as soon as it opened"));
    }

    /** Returns the links that are open, in both directions. */
    public Collection<Link> open() {
        List<Link> out = new ArrayList<>(mIncoming);
        for (CompletableFuture<Link> f : mOutgoing.values()) {
            if (f.isDone() && !f.isCompletedExceptionally()) {
                out.add(f.join());
            }
        }
        return out;
    }

    // ---------------------------------------------------------------- from the network thread

    @Override
    public void onPackets(Link link, List<Packet> packets) {
        mLoop.execute(() -> deliver(link, packets));
    }

    @Override
    public void onClosed(Link link) {
        mLoop.execute(() -> closed(link));
    }

    private void deliver(Link link, List<Packet> packets) {
        if (!link.isOutgoing()) {
            mIncoming.add(link);
        }
        for (Packet p : packets) {
            for (PacketSink s : mSinks) {
                s.onPacket(link, p);
            }
        }
    }

    private void closed(Link link) {
        mIncoming.remove(link);
        mOutgoing
                .values()
                .removeIf(f -> f.isDone() && !f.isCompletedExceptionally() && f.join() == link);
        for (PacketSink s : mSinks) {
            s.onClosed(link);
        }
    }
}
