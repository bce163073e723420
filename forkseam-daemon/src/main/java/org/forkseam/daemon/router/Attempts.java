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

/** Passes what sidecars send to the attempts concerned. Used on the event loop. */
final class Attempts implements PacketListener {
    /** A sidecar with work of ours that says nothing for so long is taken to be frozen. */
    private static final long SILENT_MILLIS = 4_000;

    private final Eventloop mLoop;
    private final Clock mClock;
    private final Fleet mFleet;
    private final FleetSync mSync;
    private final LinkManager mLinks;
    private final Map<Long, Attempt> mOpen = new HashMap<>();
    private long mNextStream = 1;

    Attempts(Eventloop loop, Clock clock, Fleet fleet, FleetSync sync, LinkManager links) {
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
        long stream = mNextStream++;
        mOpen.put(stream, attempt);
        return stream;
    }

    void unregister(long stream) {
        mOpen.remove(stream);
    }

    int open() {
        return mOpen.size();
    }

    void later(long millis, Runnable task) {
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

    /** Cuts links whose sidecar holds work of ours and is silent. */
    void cutSilent() {
        Set<Link> silent = new HashSet<>();
        for (Attempt a : mOpen.values()) {
            if (a.link() != null && a.link().millisSinceLastRead() > SILENT_MILLIS) {
                silent.add(a.link());
            }
        }
        silent.forEach(Link::close);
    }

    @Override
    public void onPacket(Link link, Packet p) {
        switch (p.getBodyCase()) {
            case HEAD -> {
                learn(link, p.getHead().getDigestsList());
                of(link, p.getHead().getStream()).ifPresent(a -> a.onHead(p.getHead()));
            }
            case FRAME ->
                    of(link, p.getFrame().getStream()).ifPresent(a -> a.onFrame(p.getFrame()));
            case END -> {
                of(link, p.getEnd().getStream()).ifPresent(a -> a.onEnd(p.getEnd()));
                learn(link, p.getEnd().getDigestsList());
            }
            case REFUSAL -> {
                learn(link, p.getRefusal().getDigestsList());
                of(link, p.getRefusal().getStream()).ifPresent(a -> a.onRefusal(p.getRefusal()));
            }
            default -> {
                // Handled by other listeners.
            }
        }
    }

    /** Finds an attempt, but only for the peer it was sent to. */
    private Optional<Attempt> of(Link link, long stream) {
        return Optional.ofNullable(mOpen.get(stream)).filter(a -> a.link() == link);
    }

    private void learn(Link link, List<org.forkseam.wire.proto.LoadDigest> digests) {
        mFleet.learn(link, digests, mClock.nowMillis());
    }

    @Override
    public void onClosed(Link link) {
        List<Attempt> cut = new ArrayList<>();
        for (Attempt a : mOpen.values()) {
            if (a.link() == link) {
                cut.add(a);
            }
        }
        cut.forEach(Attempt::onCut);
    }
}
