package org.forkseam.direct.know;

import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpMethod;

import org.forkseam.core.util.Clock;
import org.forkseam.direct.io.Connector;
import org.forkseam.direct.io.SimpleHttpClient;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;

/** Requests snapshots from other routers, in rotation. Confined to the event loop. */
final class PeerClient {
    /** Path of the snapshot on the admin interface. */
    static final String PATH = "/knowledge";

    private static final long CALL_TIMEOUT_MILLIS = 500;
    private static final int OK = 200;

    private final List<SimpleHttpClient> mPeers;
    private int mNextIndex;

    private PeerClient(List<SimpleHttpClient> peers) {
        mPeers = peers;
    }

    /** Creates a client of routers at IP:PORT addresses; some may be outdated. */
    static PeerClient of(EventLoop loop, Clock clock, List<String> addresses) {
        Connector c = Connector.of(loop);
        return new PeerClient(
                addresses.stream().map(a -> SimpleHttpClient.of(loop, c, clock, a)).toList());
    }

    boolean hasPeers() {
        return !mPeers.isEmpty();
    }

    /**
     * Requests a snapshot from the next router; the future fails if that router has none or is
     * unreachable.
     */
    CompletableFuture<PeerSnapshot> requestSnapshot() {
        SimpleHttpClient peer = mPeers.get(mNextIndex++ % mPeers.size());
        return peer.call(HttpMethod.GET, PATH, new byte[0], CALL_TIMEOUT_MILLIS)
                .thenApply(PeerClient::parseReply);
    }

    private static PeerSnapshot parseReply(SimpleHttpClient.Response reply) {
        if (reply.status() != OK) {
            throw new CompletionException(
                    new IOException("peer snapshot request failed with status " + reply.status()));
        }
        try {
            return PeerSnapshot.read(reply.body());
        } catch (IOException e) {
            throw new CompletionException(e);
        }
    }
}
