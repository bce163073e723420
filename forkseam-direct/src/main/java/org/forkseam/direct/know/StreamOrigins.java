package org.forkseam.direct.know;

import org.forkseam.core.member.VersionHistory;
import org.forkseam.core.share.StreamKeepers;
import org.forkseam.core.share.StreamOrigin;
import org.forkseam.core.share.StreamOriginTable;
import org.forkseam.core.util.Clock;
import org.forkseam.core.util.Hashes;
import org.forkseam.direct.io.ReadBarrier;
import org.forkseam.direct.spi.StreamRecords;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Consumer;

/**
 * Finds the software that began a stream which a caller resumes, possibly at another router.
 *
 * <p>While a pool has had a single version for long enough, every router infers it and nothing is
 * sent. Otherwise the router that begins a stream reports it to a few others, selected by a hash of
 * the stream, and a router that does not know a stream asks these. One of them records the stream
 * in the store, for the case that all routers end. The cost of a stream therefore does not depend
 * on the number of routers. Confined to the event loop.
 *
 * @since 0.7
 */
public final class StreamOrigins {
    /** Routers to which a stream is reported. */
    static final int KEEPERS = 2;

    /**
     * Routers that are asked: one more, since the router that began it may rank among the first.
     */
    static final int ASKED = KEEPERS + 1;

    /** Routers that may record a stream: its recorder, and two in its place. */
    static final int RECORDERS = 3;

    /** Maximum wait for replies; a running router replies within a few milliseconds. */
    private static final long REPLY_TIMEOUT_MILLIS = 250;

    /** Maximum wait for a read of the store after that; a caller can request the stream anew. */
    private static final long READ_TIMEOUT_MILLIS = 400;

    /** Stream of a caller that does not name the request which began it. */
    private static final long UNNAMED = streamOf("");

    private final Timer mTimer;
    private final Clock mClock;
    private final Network mNetwork;
    private final VersionHistory mVersions;
    private final StreamRecorder mRecorder;
    private final UnconfirmedStreams mUnconfirmed;
    private final StreamOriginTable mTable = StreamOriginTable.create();
    private long mStartedAt;
    private final Map<Long, Query> mQueries = new HashMap<>();
    private long mReports;
    private long mQuestions;

    /** Sends messages to other routers. */
    interface Network {
        /**
         * Sends a message to other routers that keep a stream, first to the one that records it;
         * returns their number.
         */
        int sendToKeepers(long stream, int count, PeerMessage m);

        /** Returns the number of partitions of the streams. */
        int partitions();

        /**
         * Returns whether this router records a partition in the store.
         *
         * @param rank 0 for the recorder, more for those that record in its place
         */
        boolean isRecorder(int partition, int rank);

        /** Sends a message to such a router, unless there is none or it is this one. */
        void sendToRecorder(int partition, int rank, PeerMessage m);

        /** Sends a message to the router at an address. */
        void sendTo(InetSocketAddress address, PeerMessage m);
    }

    /** Runs delayed tasks on the event loop. */
    interface Timer {
        /** Runs a task after a delay. */
        void after(long millis, Runnable task);
    }

    /** How an origin was found. */
    public enum Source {
        /** This router began the stream or was told of it. */
        KNOWN,
        /** The pool has had a single version for longer than streams last. */
        SOLE_VERSION,
        /** Another router knew it. */
        ROUTER,
        /** The store has a record of it. */
        RECORD,
        /** No router that was asked knows it. */
        NONE
    }

    /**
     * Result of a search.
     *
     * @param software the software that began the stream, empty if unknown
     * @param source how it was found
     */
    public record Result(OptionalLong software, Source source) {
        static Result of(long software, Source source) {
            return new Result(OptionalLong.of(software), source);
        }

        static Result none() {
            return new Result(OptionalLong.empty(), Source.NONE);
        }
    }

    /** A pending question to other routers. */
    private static final class Query {
        private final List<Consumer<Result>> mListeners = new ArrayList<>();
        private int mRepliesLeft;

        Query(int repliesLeft) {
            mRepliesLeft = repliesLeft;
        }
    }

    StreamOrigins(
            Timer timer,
            Clock clock,
            Network network,
            VersionHistory versions,
            StreamRecords records) {
        mTimer = timer;
        mClock = clock;
        mNetwork = network;
        mVersions = versions;
        mStartedAt = clock.nowMillis();
        mUnconfirmed = new UnconfirmedStreams(timer, clock, network, this::recordHere);
        StreamConfirmations confirmations =
                new StreamConfirmations(timer, network, mUnconfirmed::onRecorded);
        mRecorder = new StreamRecorder(timer, clock, records, network, confirmations);
    }

    /** Creates a table of streams that begin at this router or are reported to it. */
    static StreamOrigins of(
            FollowerBase.Context context, VersionHistory versions, StreamRecords records) {
        Timer timer = ReadBarrier.of(context.loop())::schedule;
        return new StreamOrigins(timer, context.clock(), context.peers(), versions, records);
    }

    /** Called when the first configuration is known, with which the history of routes begins. */
    void onFirstConfig() {
        mStartedAt = mClock.nowMillis();
    }

    /** Returns the hash that identifies a stream. */
    public static long streamOf(String requestId) {
        return Hashes.of(requestId);
    }

    // ---------------------------------------------------------------- streams that begin

    /** Remembers a stream that this router began or resumed. */
    public void record(StreamOrigin origin) {
        mTable.add(origin, mClock.nowMillis());
    }

    /** Returns whether other routers can infer the origin of the pool's streams. */
    public boolean isInferable(String pool) {
        return mVersions.soleVersion(pool, mClock.nowMillis()).isPresent();
    }

    /**
     * Reports a stream to the routers that will be asked for it, one of which records it; returns
     * whether any is known.
     */
    public boolean report(StreamOrigin origin) {
        mUnconfirmed.add(origin);
        if (isRecorder(origin.stream())) {
            mRecorder.add(origin, Optional.empty());
        }
        PeerMessage m = new PeerMessage.StreamOrigins(List.of(origin));
        int sent = mNetwork.sendToKeepers(origin.stream(), KEEPERS, m);
        mReports += sent;
        return sent > 0;
    }

    private boolean isRecorder(long stream) {
        return mNetwork.isRecorder(StreamKeepers.partitionOf(stream, mNetwork.partitions()), 0);
    }

    /** Records streams in place of their recorder, which has not confirmed them to this router. */
    private void recordHere(List<StreamOrigin> origins) {
        origins.forEach(o -> mRecorder.add(o, Optional.empty()));
    }

    // ---------------------------------------------------------------- streams that are resumed

    /**
     * Finds the software that began a stream. That of a stream without a name is only inferred, and
     * only here: such streams have nothing in common, so that no router can remember an answer.
     *
     * @param pool the pool that certainly began it; empty if only an origin that a router knows may
     *     be used
     * @param listener receives the result, before this method returns if it is known here
     */
    public void find(long stream, String pool, Consumer<Result> listener) {
        if (stream == UNNAMED) {
            listener.accept(infer(pool).filter(r -> !hasJustStarted()).orElse(Result.none()));
            return;
        }
        Optional<Result> known = findHere(stream, pool);
        if (known.isPresent()) {
            listener.accept(known.get());
            return;
        }
        if (hasJustStarted() && infer(pool).isPresent()) {
            ask(stream, "", r -> listener.accept(r.software().isPresent() ? r : inferOrNone(pool)));
            return;
        }
        ask(stream, pool, listener);
    }

    private Result inferOrNone(String pool) {
        return infer(pool).orElse(Result.none());
    }

    /**
     * Returns whether the streams that can be resumed may have begun before this router knew the
     * routes. One of them may have led to another pool then: its streams were recorded when it
     * changed, so that records are looked for before anything is inferred.
     */
    private boolean hasJustStarted() {
        return mClock.nowMillis() - mStartedAt < VersionHistory.STREAM_LIFETIME_MILLIS;
    }

    private void ask(long stream, String pool, Consumer<Result> listener) {
        Query pending = mQueries.get(stream);
        if (pending != null) {
            pending.mListeners.add(listener);
            return;
        }
        mQuestions++;
        int asked =
                mNetwork.sendToKeepers(stream, ASKED, new PeerMessage.StreamQuery(stream, pool));
        Query q = new Query(asked);
        q.mListeners.add(listener);
        mQueries.put(stream, q);
        if (isRecorder(stream)) {
            q.mRepliesLeft++;
            mRecorder.read(stream, () -> onReply(findRecorded(stream), Source.RECORD, q));
        }
        mTimer.after(REPLY_TIMEOUT_MILLIS, () -> onReplyMissing(stream, q));
    }

    /** Reads the records here, since the router that should have read them may have ended. */
    private void onReplyMissing(long stream, Query q) {
        if (mQueries.get(stream) != q) {
            return;
        }
        mTimer.after(READ_TIMEOUT_MILLIS, () -> finish(stream, q, Result.none()));
        mRecorder.read(stream, () -> finish(stream, q, resultOfRecord(stream)));
    }

    private StreamOrigin findRecorded(long stream) {
        return mRecorder.find(stream).orElse(new StreamOrigin(stream, StreamOrigin.UNKNOWN));
    }

    private Result resultOfRecord(long stream) {
        return mRecorder
                .find(stream)
                .map(o -> Result.of(o.software(), Source.RECORD))
                .orElse(Result.none());
    }

    private Optional<Result> findHere(long stream, String pool) {
        long now = mClock.nowMillis();
        Optional<StreamOrigin> known = mTable.find(stream, now);
        if (known.isPresent()) {
            return Optional.of(Result.of(known.get().software(), Source.KNOWN));
        }
        Optional<Result> inferred = infer(pool);
        if (inferred.isPresent() && !hasJustStarted()) {
            return inferred;
        }
        return mRecorder.find(stream).map(o -> Result.of(o.software(), Source.RECORD));
    }

    private Optional<Result> infer(String pool) {
        OptionalLong sole = mVersions.soleVersion(pool, mClock.nowMillis());
        return sole.isPresent()
                ? Optional.of(Result.of(sole.getAsLong(), Source.SOLE_VERSION))
                : Optional.empty();
    }

    private void finish(long stream, Query q, Result result) {
        if (mQueries.remove(stream, q)) {
            q.mListeners.forEach(l -> l.accept(result));
        }
    }

    // ---------------------------------------------------------------- other routers

    void onQuery(PeerMessage.StreamQuery query, InetSocketAddress sender) {
        Optional<Result> known = findHere(query.stream(), query.pool());
        if (known.isPresent() || !isRecorder(query.stream())) {
            reply(query.stream(), known.orElse(Result.none()), sender);
            return;
        }
        mRecorder.read(
                query.stream(),
                () -> reply(query.stream(), resultOfRecord(query.stream()), sender));
    }

    private void reply(long stream, Result result, InetSocketAddress sender) {
        StreamOrigin o = new StreamOrigin(stream, result.software().orElse(StreamOrigin.UNKNOWN));
        mNetwork.sendTo(sender, new PeerMessage.StreamOrigins(List.of(o)));
    }

    void onOrigins(PeerMessage.StreamOrigins m, InetSocketAddress sender) {
        for (StreamOrigin o : m.origins()) {
            if (o.isKnown()) {
                record(o);
                recordIfResponsible(o, sender);
            }
            Query q = mQueries.get(o.stream());
            if (q != null) {
                onReply(o, Source.ROUTER, q);
            }
        }
    }

    private void recordIfResponsible(StreamOrigin origin, InetSocketAddress reporter) {
        if (isRecorder(origin.stream())) {
            mRecorder.add(origin, Optional.of(reporter));
        }
    }

    /** Records streams in place of their recorder, which has not confirmed them to the sender. */
    void onRecordRequest(PeerMessage.RecordStreams m, InetSocketAddress sender) {
        for (StreamOrigin o : m.origins()) {
            record(o);
            mRecorder.add(o, Optional.of(sender));
        }
    }

    void onRecorded(PeerMessage.StreamsRecorded m) {
        m.streams().forEach(mUnconfirmed::onRecorded);
    }

    private void onReply(StreamOrigin o, Source source, Query q) {
        q.mRepliesLeft--;
        if (o.isKnown()) {
            finish(o.stream(), q, Result.of(o.software(), source));
        } else if (q.mRepliesLeft == 0) {
            finish(o.stream(), q, Result.none());
        }
    }

    /** Returns counts for the state dump. */
    Map<String, Long> dump() {
        Map<String, Long> m = new LinkedHashMap<>();
        m.put("remembered", (long) mTable.size());
        m.put("reported", mReports);
        m.put("asked", mQuestions);
        m.put("pending", (long) mQueries.size());
        m.put("unconfirmed", (long) mUnconfirmed.size());
        m.put("record_requests", mUnconfirmed.requested());
        m.putAll(mRecorder.dump());
        return m;
    }
}
