package org.forkseam.direct.know;

import org.forkseam.core.member.Target;
import org.forkseam.core.member.TargetDirectory;
import org.forkseam.core.place.EngineGroups;
import org.forkseam.core.place.PlacementDone;
import org.forkseam.core.place.PlacementLedger;
import org.forkseam.core.place.PlacementQuery;
import org.forkseam.core.place.PlacementReply;
import org.forkseam.core.util.BoundedMap;
import org.forkseam.core.util.Clock;
import org.forkseam.direct.log.Event;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.Collectors;

/**
 * Places prompts on engines that may be empty through the coordinator of the home's group, and
 * coordinates groups itself. Confined to the event loop.
 *
 * <p>A coordinator that does not reply costs a request {@link #REPLY_TIMEOUT_MILLIS} and is not
 * queried for some time. Ledgers are soft state: one that is lost begins empty elsewhere.
 *
 * @since 0.8
 */
public final class PromptPlacements {
    /** Maximum wait for a reply; a small part of objectives of some hundred milliseconds. */
    static final long REPLY_TIMEOUT_MILLIS = 20;

    /**
     * Wait before a query is sent once more. With 5% of datagrams lost, a tenth of the queries have
     * no reply, and each of them pauses its coordinator for all requests of this router.
     */
    static final long RESEND_MILLIS = 8;

    /** Time for which a coordinator that did not reply is not queried. */
    static final long PAUSE_MILLIS = 1_000;

    /** Time without queries after which a ledger is dropped: the engines' caches have changed. */
    private static final long LEDGER_TTL_MILLIS = 30_000;

    /** Prefill rate of engines in tokens per millisecond. */
    private static final double TOKENS_PER_MILLI = 40;

    private static final int MAX_LEDGERS = 64;
    private static final int MAX_PAUSES = 1_024;

    private final Timer mTimer;
    private final Clock mClock;
    private final Network mNetwork;
    private final TargetDirectory mTargets;
    private final Map<Group, Coordinated> mLedgers = BoundedMap.byAccess(MAX_LEDGERS);
    private final Map<String, Long> mPausedUntil = BoundedMap.byInsertion(MAX_PAUSES);
    private final Map<Long, Query> mQueries = new HashMap<>();
    private long mNextId;
    private long mQueried;
    private long mRepeated;
    private long mTimedOut;
    private long mNotQueried;
    private long mCoordinated;
    private long mAnsweredAgain;
    private long mMalformed;

    /** Sends messages to other routers. */
    interface Network {
        /** Returns whether any router is registered, as far as this one knows. */
        boolean hasRouters();

        /** Returns the address of the router that coordinates a group; empty for this router. */
        Optional<InetSocketAddress> coordinator(String pool, int group);

        /** Sends a message to the router at an address. */
        void sendTo(InetSocketAddress address, PeerMessage m);
    }

    /** Runs delayed tasks on the event loop, after the input that arrived in the meantime. */
    interface Timer {
        /** Runs a task after a delay. */
        void after(long millis, Runnable task);
    }

    /** Where a placement comes from. */
    public enum Source {
        /** The coordinator has selected an engine. */
        PLACED,
        /** The coordinator knows no engine of the group. */
        NO_ENGINE,
        /** The coordinator has not replied. */
        TIMEOUT,
        /** The coordinator has not replied to an earlier query, or no router is known. */
        NOT_QUERIED
    }

    /**
     * A placement.
     *
     * @param source where it comes from
     * @param id identifies it in the report of its end
     * @param coordinator address of the coordinator; empty for this router
     * @param engine the selected engine, if this router knows it
     * @param copySource engine from which the prompt is copied
     */
    public record Result(
            Source source,
            long id,
            Optional<InetSocketAddress> coordinator,
            Optional<Target> engine,
            Optional<Target> copySource) {
        static Result none(Source source, long id, Optional<InetSocketAddress> coordinator) {
            return new Result(source, id, coordinator, Optional.empty(), Optional.empty());
        }

        /** Returns whether the coordinator may know the placement and expects a report. */
        public boolean isReported() {
            return source == Source.PLACED || source == Source.TIMEOUT;
        }

        /** Returns IP:PORT of the coordinator, or {@code self}. */
        public String placedBy() {
            return coordinator.map(PromptPlacements::nameOf).orElse("self");
        }
    }

    /**
     * The shared parts of a prompt.
     *
     * @param key hash of the last shared part
     * @param headKey hash of the first shared part
     * @param headTokens length of the first shared part in tokens
     * @param sharedTokens length of all shared parts in tokens
     * @param tokens length of the whole prompt in tokens
     */
    public record PromptParts(
            long key, long headKey, long headTokens, long sharedTokens, long tokens) {}

    /** A group of engines. */
    private record Group(String pool, int index) {}

    /** A ledger of this router and when it was last used. */
    private static final class Coordinated {
        private final PlacementLedger mLedger = PlacementLedger.create();
        private long mUsedAt;
    }

    /** A pending query to another router. */
    private record Query(InetSocketAddress coordinator, Consumer<Result> listener) {}

    PromptPlacements(
            Timer timer, Clock clock, Network network, TargetDirectory targets, long firstId) {
        mTimer = timer;
        mClock = clock;
        mNetwork = network;
        mTargets = targets;
        mNextId = firstId;
    }

    // ---------------------------------------------------------------- requests of this router

    /**
     * Finds the engine that is to process a prompt.
     *
     * @param home first engine in the key's order of preference
     * @param listener receives the result, before this method returns if this router coordinates
     *     the group or the coordinator is not queried
     */
    public void place(PromptParts p, Target home, Consumer<Result> listener) {
        String pool = home.entry().pool();
        long id = mNextId++;
        PlacementQuery q =
                new PlacementQuery(
                        id,
                        pool,
                        p.key(),
                        p.headKey(),
                        toInt(p.headTokens()),
                        toInt(p.sharedTokens()),
                        toInt(p.tokens()),
                        home.shortHash());
        Optional<InetSocketAddress> coordinator = mNetwork.coordinator(pool, groupOf(home));
        if (!mNetwork.hasRouters() || coordinator.filter(this::isPaused).isPresent()) {
            mNotQueried++;
            listener.accept(Result.none(Source.NOT_QUERIED, id, coordinator));
            return;
        }
        if (coordinator.isEmpty()) {
            listener.accept(toResult(coordinate(q), coordinator));
            return;
        }
        query(q, coordinator.get(), listener);
    }

    private static int toInt(long tokens) {
        return (int) Math.min(Integer.MAX_VALUE, tokens);
    }

    private static String nameOf(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    private boolean isPaused(InetSocketAddress coordinator) {
        return mClock.nowMillis() < mPausedUntil.getOrDefault(nameOf(coordinator), Long.MIN_VALUE);
    }

    private void query(PlacementQuery q, InetSocketAddress coordinator, Consumer<Result> listener) {
        mQueried++;
        mQueries.put(q.id(), new Query(coordinator, listener));
        PeerMessage m = new PeerMessage.PlacePrompt(q);
        mNetwork.sendTo(coordinator, m);
        mTimer.after(
                RESEND_MILLIS,
                () -> {
                    if (mQueries.containsKey(q.id())) {
                        mRepeated++;
                        mNetwork.sendTo(coordinator, m);
                    }
                });
        mTimer.after(REPLY_TIMEOUT_MILLIS, () -> onTimeout(q.id()));
    }

    private void onTimeout(long id) {
        Query q = mQueries.remove(id);
        if (q == null) {
            return;
        }
        mTimedOut++;
        String name = nameOf(q.coordinator());
        mPausedUntil.remove(name);
        mPausedUntil.put(name, mClock.nowMillis() + PAUSE_MILLIS);
        q.listener().accept(Result.none(Source.TIMEOUT, id, Optional.of(q.coordinator())));
    }

    void onReply(PlacementReply reply) {
        Query q = mQueries.remove(reply.id());
        if (q != null) {
            q.listener().accept(toResult(reply, Optional.of(q.coordinator())));
        }
    }

    private Result toResult(PlacementReply reply, Optional<InetSocketAddress> coordinator) {
        if (reply.engine() == PlacementReply.NONE) {
            return Result.none(Source.NO_ENGINE, reply.id(), coordinator);
        }
        return new Result(
                Source.PLACED,
                reply.id(),
                coordinator,
                mTargets.findByShortHash(reply.engine()),
                mTargets.findByShortHash(reply.copySource()));
    }

    /**
     * Reports the end of a prompt's prefill to its coordinator.
     *
     * @param engine the target that received the request, which may not be the selected engine;
     *     empty if none did
     * @param ok whether the first event has arrived
     */
    public void report(Result placement, Optional<Target> engine, boolean ok) {
        int hash = engine.map(Target::shortHash).orElse(PlacementReply.NONE);
        double slowdown = engine.map(t -> t.slowdown(mClock.nowMillis())).orElse(1.0);
        PlacementDone done = new PlacementDone(placement.id(), hash, ok, slowdown);
        if (placement.coordinator().isEmpty()) {
            onDone(done);
        } else {
            mNetwork.sendTo(placement.coordinator().get(), new PeerMessage.PromptPlaced(done));
        }
    }

    // ---------------------------------------------------------------- groups of this router

    void onQuery(PlacementQuery q, InetSocketAddress sender) {
        if (!q.isValid()) {
            onMalformed("query", sender);
            return;
        }
        mNetwork.sendTo(sender, new PeerMessage.PlacementAnswer(coordinate(q)));
    }

    void onDone(PlacementDone done, InetSocketAddress sender) {
        if (!done.isValid()) {
            onMalformed("report", sender);
            return;
        }
        onDone(done);
    }

    private void onMalformed(String kind, InetSocketAddress sender) {
        mMalformed++;
        Event.of("placement_malformed").with("kind", kind).with("from", nameOf(sender)).log();
    }

    private void onDone(PlacementDone done) {
        long now = mClock.nowMillis();
        for (Coordinated c : mLedgers.values()) {
            if (c.mLedger.onDone(done, now)) {
                return;
            }
        }
    }

    /** Places a prompt; the sender may know other routers, so it decides who coordinates. */
    private PlacementReply coordinate(PlacementQuery q) {
        Optional<Target> home = mTargets.findByShortHash(q.home());
        if (home.isEmpty() || !home.get().entry().pool().equals(q.pool())) {
            return new PlacementReply(q.id(), PlacementReply.NONE, PlacementReply.NONE);
        }
        long now = mClock.nowMillis();
        int group = groupOf(home.get());
        Coordinated c =
                mLedgers.computeIfAbsent(new Group(q.pool(), group), g -> new Coordinated());
        c.mUsedAt = now;
        if (c.mLedger.hasReplied(q.id())) {
            mAnsweredAgain++;
        } else {
            mCoordinated++;
        }
        return c.mLedger.place(q, engines(q.pool(), group, now), tokensPerMilli(q.pool()), now);
    }

    private int groupOf(Target engine) {
        return groups(engine.entry().pool()).groupOf(engine.hash());
    }

    private EngineGroups groups(String pool) {
        return EngineGroups.of(mTargets.pool(pool).size());
    }

    /** Returns the engines of a group to which this router would send requests. */
    private Set<Integer> engines(String pool, int group, long now) {
        EngineGroups groups = groups(pool);
        return mTargets.pool(pool).stream()
                .filter(t -> groups.groupOf(t.hash()) == group)
                .filter(t -> t.acceptsRequests(now) && !t.isSilent(now))
                .filter(t -> t.health().trafficShare(now) > 0)
                .map(Target::shortHash)
                .collect(Collectors.toSet());
    }

    /** Returns the prefill rate of a pool's engines in tokens per millisecond. */
    private double tokensPerMilli(String pool) {
        return TOKENS_PER_MILLI;
    }

    /** Drops ledgers that were not used for some time. */
    void dropUnused() {
        long now = mClock.nowMillis();
        mLedgers.values().removeIf(c -> now - c.mUsedAt >= LEDGER_TTL_MILLIS);
    }

    /** Returns counts and ledgers for the state dump. */
    Map<String, Object> dump() {
        Map<String, Object> m = new LinkedHashMap<>();
        m.put("queried", mQueried);
        m.put("repeated", mRepeated);
        m.put("timed_out", mTimedOut);
        m.put("not_queried", mNotQueried);
        m.put("coordinated", mCoordinated);
        m.put("answered_again", mAnsweredAgain);
        m.put("malformed", mMalformed);
        m.put("pending", mQueries.size());
        Map<String, Object> ledgers = new LinkedHashMap<>();
        List.copyOf(mLedgers.keySet())
                .forEach(g -> ledgers.put(g.pool() + "/" + g.index(), dump(mLedgers.get(g))));
        m.put("ledgers", ledgers);
        return m;
    }

    private static Map<String, Long> dump(Coordinated c) {
        return c.mLedger.dump();
    }
}
