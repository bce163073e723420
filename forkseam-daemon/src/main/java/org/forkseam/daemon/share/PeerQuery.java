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
 * Queries other daemons for their decisions on a request. Daemons that do not reply in time are
 * omitted from the result. Not thread-safe: used on the event loop only.
 *
 * @since 0.1
 */
public final class PeerQuery implements PacketListener {
    private final Eventloop mLoop;
    private final LinkManager mLinks;
    private final Supplier<Packet.Builder> mPacketFactory;
    private final long mQueryId = ThreadLocalRandom.current().nextLong(Long.MAX_VALUE);
    private final Map<String, Packet> mReplies = new HashMap<>();
    private final CompletableFuture<Map<String, Packet>> mResult = new CompletableFuture<>();
    private int mPendingReplies;

    private PeerQuery(Eventloop loop, LinkManager links, Supplier<Packet.Builder> packets) {
        mLoop = loop;
        mLinks = links;
        mPacketFactory = packets;
    }

    /** Creates a query, to be sent once. */
    public static PeerQuery of(
            Eventloop loop, LinkManager links, Supplier<Packet.Builder> packets) {
        return new PeerQuery(loop, links, packets);
    }

    /** Sends the query and returns the replies by host. */
    public CompletableFuture<Map<String, Packet>> ask(
            String requestId, Collection<HostEntry> hosts, long timeoutMillis) {
        mLinks.addListener(this);
        DecisionQuery q =
                DecisionQuery.newBuilder().setQuery(mQueryId).setRequestId(requestId).build();
        mPendingReplies = hosts.size();
        for (HostEntry h : hosts) {
            mLinks.connect(h.address())
                    .whenComplete(
                            (link, e) -> {
                                if (e == null) {
                                    link.send(mPacketFactory.get().setDecisionQuery(q).build());
                                } else {
                                    onPeerDone();
                                }
                            });
        }
        mLoop.delay(timeoutMillis, () -> mResult.complete(mReplies));
        return mResult.whenComplete((r, e) -> mLinks.removeListener(this));
    }

    private void onPeerDone() {
        mPendingReplies--;
        if (mPendingReplies <= 0) {
            mResult.complete(mReplies);
        }
    }

    @Override
    public void onPacket(Link link, Packet p) {
        if (p.hasDecisionReply() && p.getDecisionReply().getQuery() == mQueryId) {
            mReplies.put(link.peer().getHost(), p);
            onPeerDone();
        }
    }

    @Override
    public void onClosed(Link link) {
        // Covered by the timeout.
    }
}
