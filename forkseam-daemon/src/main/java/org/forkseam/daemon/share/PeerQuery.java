package org.forkseam.daemon.share;

import io.activej.eventloop.Eventloop;

import org.forkseam.core.member.HostEntry;
import org.forkseam.daemon.net.LinkManager;
import org.forkseam.daemon.net.PacketListener;
import org.forkseam.wire.Link;
import org.forkseam.wire.proto.DecisionQuery;
import org.forkseam.wire.proto.Packet;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Supplier;

/**
 * Asks other daemons what they decided on a request, on behalf of an operator. Who does not answer
 * in time is left out. Used on the event loop.
 *
 * @since 0.1
 */
public final class PeerQuery implements PacketListener {
    private final Eventloop mLoop;
    private final LinkManager mLinks;
    private final Supplier<Packet.Builder> mPackets;
    private final long mId = ThreadLocalRandom.current().nextLong(Long.MAX_VALUE);
    private final Map<String, Packet> mReplies = new HashMap<>();
    private final CompletableFuture<Map<String, Packet>> mDone = new CompletableFuture<>();
    private int mWaiting;

    private PeerQuery(Eventloop loop, LinkManager links, Supplier<Packet.Builder> packets) {
        mLoop = loop;
        mLinks = links;
        mPackets = packets;
    }

    /** Creates one question. */
    public static PeerQuery of(
            Eventloop loop, LinkManager links, Supplier<Packet.Builder> packets) {
        return new PeerQuery(loop, links, packets);
    }

    /** Sends the question and returns the replies by host. */
    public CompletableFuture<Map<String, Packet>> ask(
            String requestId, Collection<HostEntry> hosts, long withinMillis) {
        mLinks.addListener(this);
        DecisionQuery q = DecisionQuery.newBuilder().setQuery(mId).setRequestId(requestId).build();
        mWaiting = hosts.size();
        for (HostEntry h : hosts) {
            mLinks.connect(h.address())
                    .whenComplete(
                            (link, e) -> {
                                if (e == null) {
                                    link.send(mPackets.get().setDecisionQuery(q).build());
                                } else {
                                    oneLess();
                                }
                            });
        }
        mLoop.delay(withinMillis, () -> mDone.complete(mReplies));
        return mDone.whenComplete((r, e) -> mLinks.removeListener(this));
    }

    private void oneLess() {
        mWaiting--;
        if (mWaiting <= 0) {
            mDone.complete(mReplies);
        }
    }

    @Override
    public void onPacket(Link link, Packet p) {
        if (p.hasDecisionReply() && p.getDecisionReply().getQuery() == mId) {
            mReplies.put(link.peer().getHost(), p);
            oneLess();
        }
    }

    @Override
    public void onClosed(Link link) {
        // The time limit covers it.
    }
}
