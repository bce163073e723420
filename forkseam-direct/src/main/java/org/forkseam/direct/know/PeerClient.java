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

/** Asks other routers for what they know, one after another. Used on the event loop. */
final class PeerClient {
    /** Where a router tells what it knows. */
    static final String PATH = "/knowledge";

    private static final long CALL_MILLIS = 500;
    private static final int OK = 200;

    private final List<SimpleHttpClient> mPeers;
    private int mNext;

    private PeerClient(List<SimpleHttpClient> peers) {
        mPeers = peers;
    }

    /** Creates a client of routers at IP:PORT addresses, some of which may be stale. */
    static PeerClient of(EventLoop loop, Clock clock, List<String> addresses) {
        Connector c = Connector.of(loop);
        return new PeerClient(
                addresses.stream().map(a -> SimpleHttpClient.of(loop, c, clock, a)).toList());
    }

    boolean hasPeers() {
        return !mPeers.isEmpty();
    }

    /** Asks the next router; the future fails if it knows nothing or cannot be reached. */
    CompletableFuture<PeerSnapshot> ask() {
        SimpleHttpClient peer = mPeers.get(mNext++ % mPeers.size());
        return peer.call(HttpMethod.GET, PATH, new byte[0], CALL_MILLIS)
                .thenApply(PeerClient::snapshot);
    }

    private static PeerSnapshot snapshot(SimpleHttpClient.Response reply) {
        if (reply.status() != OK) {
            throw new CompletionException(new IOException("status " + reply.status()));
        }
        try {
            return PeerSnapshot.read(reply.body());
        } catch (IOException e) {
            throw new CompletionException(e);
        }
    }
}
