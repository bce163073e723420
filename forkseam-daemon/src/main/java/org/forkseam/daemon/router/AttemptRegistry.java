package org.forkseam.daemon.router;

import io.activej.eventloop.Eventloop;

import org.forkseam.core.util.Clock;
import org.forkseam.daemon.net.LinkManager;
import org.forkseam.daemon.net.PacketListener;
import org.forkseam.daemon.share.Fleet;
import org.forkseam.daemon.share.FleetSync;
import org.forkseam.wire.Link;
import org.forkseam.wire.proto.Packet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Dispatches packets from sidecars to open attempts. Not thread-safe: used on the event loop only.
 */
final class AttemptRegistry implements PacketListener {
    /** Silence after which a sidecar with open attempts is considered unresponsive. */
    private static final long SIDECAR_SILENCE_TIMEOUT_MILLIS = 4_000;

    private final Eventloop mLoop;
    private final Clock mClock;
    private final Fleet mFleet;
    private final FleetSync mSync;
    private final LinkManager mLinks;
    private final Map<Long, Attempt> mOpen = new HashMap<>();
    private long mNextStreamId = 1;

    AttemptRegistry(Eventloop loop, Clock clock, Fleet fleet, FleetSync sync, LinkManager links) {
        mLoop = loop;
        mClock = clock;
        mFleet = fleet;
        mSync = sync;
        mLinks = links;
    }

    Packet.Builder packet() {
        return mSync.packet();
    }

    long register(Attempt attempt) {
        long stream = mNextStreamId++;
        mOpen.put(stream, attempt);
        return stream;
    }

    void unregister(long stream) {
        mOpen.remove(stream);
    }

    int openCount() {
        return mOpen.size();
    }

    void schedule(long millis, Runnable task) {
        mLoop.delay(millis, task);
    }

    void connect(String address, Consumer<Link> opened, Consumer<Throwable> failed) {
        mLinks.connect(address)
                .whenComplete(
                        (link, e) -> {
                            if (e == null) {
                                opened.accept(link);
                            } else {
                                failed.accept(e);
                            }
                        });
    }

    /** Closes links to sidecars that have open attempts but have been silent for too long. */
    void closeSilentLinks() {
        Set<Link> silent = new HashSet<>();
        for (Attempt a : mOpen.values()) {
            if (a.link() != null
                    && a.link().millisSinceLastRead() > SIDECAR_SILENCE_TIMEOUT_MILLIS) {
                silent.add(a.link());
            }
        }
        silent.forEach(Link::close);
    }

    @Override
    public void onPacket(Link link, Packet p) {
        switch (p.getBodyCase()) {
            case HEAD -> {
                updateLoads(link, p.getHead().getDigestsList());
                find(link, p.getHead().getStream()).ifPresent(a -> a.onHead(p.getHead()));
            }
            case FRAME ->
                    find(link, p.getFrame().getStream()).ifPresent(a -> a.onFrame(p.getFrame()));
            case END -> {
                find(link, p.getEnd().getStream()).ifPresent(a -> a.onEnd(p.getEnd()));
                updateLoads(link, p.getEnd().getDigestsList());
            }
            case REFUSAL -> {
                updateLoads(link, p.getRefusal().getDigestsList());
                find(link, p.getRefusal().getStream()).ifPresent(a -> a.onRefusal(p.getRefusal()));
            }
            default -> {
                // Handled by other listeners.
            }
        }
    }

    /** Finds an open attempt by stream id, if it was sent over this link. */
    private Optional<Attempt> find(Link link, long stream) {
        return Optional.ofNullable(mOpen.get(stream)).filter(a -> a.link() == link);
    }

    private void updateLoads(Link link, List<org.forkseam.wire.proto.LoadDigest> digests) {
        mFleet.onDigests(link, digests, mClock.nowMillis());
    }

    @Override
    public void onClosed(Link link) {
        List<Attempt> affected = new ArrayList<>();
        for (Attempt a : mOpen.values()) {
            if (a.link() == link) {
                affected.add(a);
            }
        }
        affected.forEach(Attempt::onLinkClosed);
    }
}
