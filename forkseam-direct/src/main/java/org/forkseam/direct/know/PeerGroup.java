package org.forkseam.direct.know;

import io.netty.channel.EventLoop;

import org.forkseam.core.admit.ColdStartShare;
import org.forkseam.core.place.EngineGroups;
import org.forkseam.core.share.StreamKeepers;
import org.forkseam.core.util.Hashes;
import org.forkseam.direct.io.Addresses;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiConsumer;
import java.util.random.RandomGenerator;

/** Tracks the other routers and sends them messages. Confined to the event loop. */
final class PeerGroup implements StreamOrigins.Network, PromptPlacements.Network {
    private final PeerChannel mChannel;
    private final FleetState.RouterIdentity mSelf;
    private final RandomGenerator mRandom;
    private final Map<String, String> mRouters = new LinkedHashMap<>();
    private List<String> mPeerAddresses = List.of();
    private List<Peer> mPeers = List.of();

    /** All known routers, including this one. */
    private List<Peer> mCandidates = List.of();

    /**
     * The router that records each partition of streams and those that do so in its place, computed
     * when first needed.
     */
    private final Map<Integer, List<Peer>> mRecorders = new HashMap<>();

    private long mMessagesSent;

    /** Another router and the hash of its host's name. */
    private record Peer(long hostHash, String address) {}

    PeerGroup(
            EventLoop loop,
            FleetState.RouterIdentity self,
            RandomGenerator random,
            BiConsumer<PeerMessage, InetSocketAddress> listener) {
        mChannel = new PeerChannel(loop, listener);
        mSelf = self;
        mRandom = random;
    }

    CompletableFuture<Void> listen() {
        return mChannel.listen(mSelf.peerAddress());
    }

    void close() {
        mChannel.close();
    }

    // ---------------------------------------------------------------- routers

    String host() {
        return mSelf.host();
    }

    /** Returns the address of this router, IP:PORT. */
    String address() {
        return mSelf.peerAddressText();
    }

    /** Adds a router, or updates its address. */
    void addRouter(String host, String address) {
        mRouters.put(host, address);
        refreshPeerAddresses();
    }

    void removeRouter(String host) {
        mRouters.remove(host);
        refreshPeerAddresses();
    }

    private void refreshPeerAddresses() {
        mPeers =
                mRouters.entrySet().stream()
                        .filter(e -> !e.getKey().equals(host()))
                        .map(e -> new Peer(Hashes.of(e.getKey()), e.getValue()))
                        .toList();
        mPeerAddresses = mPeers.stream().map(Peer::address).toList();
        mCandidates = new ArrayList<>(mPeers);
        mCandidates.add(new Peer(Hashes.of(host()), address()));
        mRecorders.clear();
    }

    /** Returns whether any router is registered, as far as this one knows. */
    @Override
    public boolean hasRouters() {
        return !mRouters.isEmpty();
    }

    /** Returns the number of known routers, at least 1 for this one. */
    int routerCount() {
        return Math.max(1, mRouters.size());
    }

    int peerCount() {
        return mPeerAddresses.size();
    }

    /** Returns this router's share of a cold target's capacity among the known routers. */
    ColdStartShare shareFor(long targetHash) {
        return ColdStartShare.of(host(), mRouters.keySet(), targetHash);
    }

    /**
     * Returns whether another router has the lower address; of two routers that poll the same data,
     * that one continues.
     */
    boolean isPrecededBy(InetSocketAddress other) {
        InetSocketAddress own = mSelf.peerAddress();
        int byHost =
                Arrays.compareUnsigned(
                        other.getAddress().getAddress(), own.getAddress().getAddress());
        return byHost != 0 ? byHost < 0 : other.getPort() < own.getPort();
    }

    /** Returns whether this router has the lowest address of all known ones. */
    boolean isFirst() {
        return mPeerAddresses.stream().map(Addresses::parse).noneMatch(this::isPrecededBy);
    }

    // ---------------------------------------------------------------- sending

    /** Sends a message to all other routers; returns false if it is too long for a datagram. */
    boolean broadcast(PeerMessage m) {
        mMessagesSent += mPeerAddresses.size();
        return mChannel.send(m, mPeerAddresses);
    }

    /** Sends a message to a random other router. */
    void sendToRandomPeer(PeerMessage m) {
        if (mPeerAddresses.isEmpty()) {
            return;
        }
        mMessagesSent++;
        mChannel.send(m, List.of(mPeerAddresses.get(mRandom.nextInt(mPeerAddresses.size()))));
    }

    @Override
    public int sendToKeepers(long stream, int count, PeerMessage m) {
        Optional<Peer> recorder = recorder(StreamKeepers.partitionOf(stream, partitions()), 0);
        List<String> keepers =
                StreamKeepers.select(stream, mPeers, recorder, Peer::hostHash, count).stream()
                        .map(Peer::address)
                        .toList();
        mMessagesSent += keepers.size();
        mChannel.send(m, keepers);
        return keepers.size();
    }

    @Override
    public int partitions() {
        return StreamKeepers.partitions(routerCount());
    }

    @Override
    public boolean isRecorder(int partition, int rank) {
        return recorder(partition, rank).filter(p -> p.address().equals(address())).isPresent();
    }

    @Override
    public void sendToRecorder(int partition, int rank, PeerMessage m) {
        Optional<Peer> recorder = recorder(partition, rank);
        recorder.filter(mPeers::contains).ifPresent(p -> sendTo(mChannel.address(p.address()), m));
    }

    private Optional<Peer> recorder(int partition, int rank) {
        if (mCandidates.isEmpty()) {
            refreshPeerAddresses(); // no router is known yet, but this one
        }
        List<Peer> recorders =
                mRecorders.computeIfAbsent(
                        partition,
                        p ->
                                StreamKeepers.recorders(
                                        p, mCandidates, Peer::hostHash, StreamOrigins.RECORDERS));
        return recorders.stream().skip(rank).findFirst();
    }

    @Override
    public Optional<InetSocketAddress> coordinator(String pool, int group) {
        return EngineGroups.coordinator(pool, group, mCandidates, Peer::hostHash)
                .filter(p -> !p.address().equals(address()))
                .map(p -> mChannel.address(p.address()));
    }

    @Override
    public void sendTo(InetSocketAddress address, PeerMessage m) {
        mMessagesSent++;
        mChannel.send(m, address);
    }

    /** Returns the number of messages sent since the start. */
    long messagesSent() {
        return mMessagesSent;
    }
}
