package org.forkseam.direct.know;

import io.netty.channel.EventLoop;

import org.forkseam.core.admit.ColdStartShare;
import org.forkseam.direct.io.Addresses;

import java.net.InetSocketAddress;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiConsumer;
import java.util.random.RandomGenerator;

/** Knows the other routers and sends them messages. Used on the event loop. */
final class PeerLink {
    private final PeerChannel mChannel;
    private final Knowledge.Self mSelf;
    private final RandomGenerator mRandom;
    private final Map<String, String> mRouters = new LinkedHashMap<>();
    private List<String> mOthers = List.of();
    private long mSent;

    PeerLink(
            EventLoop loop,
            Knowledge.Self self,
            RandomGenerator random,
            BiConsumer<PeerMessage, InetSocketAddress> listener) {
        mChannel = new PeerChannel(loop, listener);
        mSelf = self;
        mRandom = random;
    }

    CompletableFuture<Void> listen() {
        return mChannel.listen(mSelf.notices());
    }

    void close() {
        mChannel.close();
    }

    // ---------------------------------------------------------------- routers

    /** Returns the name of this router's host. */
    String host() {
        return mSelf.host();
    }

    /** Returns where this router takes messages, IP:PORT. */
    String address() {
        return mSelf.text();
    }

    /** Notes where a router takes messages. */
    void add(String host, String address) {
        mRouters.put(host, address);
        index();
    }

    /** Notes that a router has left. */
    void remove(String host) {
        mRouters.remove(host);
        index();
    }

    private void index() {
        mOthers =
                mRouters.entrySet().stream()
                        .filter(e -> !e.getKey().equals(host()))
                        .map(Map.Entry::getValue)
                        .toList();
    }

    /** Returns the number of routers known, at least this one. */
    int routers() {
        return Math.max(1, mRouters.size());
    }

    /** Returns the number of other routers that messages go to. */
    int others() {
        return mOthers.size();
    }

    /** Returns this router's share of what a target takes, among the routers known. */
    ColdStartShare shareFor(long targetHash) {
        return ColdStartShare.of(host(), mRouters.keySet(), targetHash);
    }

    /** Of two routers that read the same, the one with the lower address goes on. */
    boolean goesBefore(InetSocketAddress other) {
        InetSocketAddress own = mSelf.notices();
        int byHost =
                Arrays.compareUnsigned(
                        other.getAddress().getAddress(), own.getAddress().getAddress());
        return byHost != 0 ? byHost < 0 : other.getPort() < own.getPort();
    }

    /** Returns whether this router goes before all others that are known. */
    boolean goesFirst() {
        return mOthers.stream().map(Addresses::parse).noneMatch(this::goesBefore);
    }

    // ---------------------------------------------------------------- sending

    /** Tells all routers something, or returns false if it is too long for a datagram. */
    boolean tell(PeerMessage m) {
        mSent += mOthers.size();
        return mChannel.send(m, mOthers);
    }

    /** Tells one router, chosen at random. */
    void tellAny(PeerMessage m) {
        if (mOthers.isEmpty()) {
            return;
        }
        mSent++;
        mChannel.send(m, List.of(mOthers.get(mRandom.nextInt(mOthers.size()))));
    }

    /** Returns the messages sent since the start. */
    long sent() {
        return mSent;
    }
}
