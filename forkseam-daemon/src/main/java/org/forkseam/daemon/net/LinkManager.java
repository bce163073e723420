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
 * Manages the links to other daemons, and hands events from the network thread to the event loop.
 * Apart from the lifecycle methods, methods must be called on the event loop; listeners are called
 * and futures complete there too.
 *
 * @since 0.1
 */
public final class LinkManager implements Service, LinkHandler {
    /** Name of the service. */
    public static final String NAME = "links";

    /** Exceeds the interval at which sidecars send load notices on links in use. */
    private static final long IDLE_TIMEOUT_MILLIS = 10_000;

    private static final long IDLE_CHECK_INTERVAL_MILLIS = 1_000;

    private final Eventloop mLoop;
    private final WireTransport mWire;
    private final InetSocketAddress mListen;
    private final List<PacketListener> mListeners = new CopyOnWriteArrayList<>();
    private final Map<String, CompletableFuture<Link>> mOutgoing = new HashMap<>();
    private final Set<Link> mIncoming = new HashSet<>();

    private LinkManager(Eventloop loop, WireSettings settings, InetSocketAddress listen) {
        mLoop = loop;
        mWire = WireTransport.of(settings, this);
        mListen = listen;
    }

    /** Creates the link manager of a daemon that listens on an address. */
    public static LinkManager of(Eventloop loop, WireSettings settings, InetSocketAddress listen) {
        return new LinkManager(loop, settings, listen);
    }

    // ---------------------------------------------------------------- lifecycle

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
        openLinks().forEach(l -> open.add(l.toString()));
        return Map.of("open", open, "listen", mWire.address().toString());
    }

    /** Closes idle outgoing links; gossip with random peers would otherwise connect to all. */
    private void closeIdle() {
        openLinks().stream().filter(LinkManager::isIdle).forEach(Link::close);
        mLoop.delayBackground(IDLE_CHECK_INTERVAL_MILLIS, this::closeIdle);
    }

    private static boolean isIdle(Link link) {
        return link.isOutgoing()
                && link.millisSinceLastRead() > IDLE_TIMEOUT_MILLIS
                && link.millisSinceLastWrite() > IDLE_TIMEOUT_MILLIS;
    }

    // ---------------------------------------------------------------- public API

    /** Adds a packet listener. */
    public void addListener(PacketListener listener) {
        mListeners.add(listener);
    }

    /** Removes a packet listener. */
    public void removeListener(PacketListener listener) {
        mListeners.remove(listener);
    }

    /** Returns the address that other daemons connect to. */
    public InetSocketAddress address() {
        return mWire.address();
    }

    /** Returns the traffic counters. */
    public WireCounters counters() {
        return mWire.counters();
    }

    /** Returns the outgoing link to an address, and connects if there is none. */
    public CompletableFuture<Link> connect(String address) {
        CompletableFuture<Link> existing = mOutgoing.get(address);
        if (existing != null) {
            return existing;
        }
        CompletableFuture<Link> opened = new CompletableFuture<>();
        mOutgoing.put(address, opened);
        mWire.connect(Settings.parseAddress(address))
                .whenComplete(
                        (link, e) ->
                                mLoop.execute(() -> completeConnect(address, opened, link, e)));
        return opened;
    }

    private void completeConnect(
            String address, CompletableFuture<Link> opened, Link link, Throwable failure) {
        if (failure == null && link.isOpen()) {
            opened.complete(link);
            return;
        }
        mOutgoing.remove(address, opened);
        opened.completeExceptionally(
                failure != null ? failure : new IOException("link closed right after connecting"));
    }

    /** Returns all open links, incoming and outgoing. */
    public Collection<Link> openLinks() {
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
        mLoop.execute(() -> removeLink(link));
    }

    private void deliver(Link link, List<Packet> packets) {
        if (!link.isOutgoing()) {
            mIncoming.add(link);
        }
        for (Packet p : packets) {
            for (PacketListener l : mListeners) {
                l.onPacket(link, p);
            }
        }
    }

    private void removeLink(Link link) {
        mIncoming.remove(link);
        mOutgoing
                .values()
                .removeIf(f -> f.isDone() && !f.isCompletedExceptionally() && f.join() == link);
        for (PacketListener l : mListeners) {
            l.onClosed(link);
        }
    }
}
