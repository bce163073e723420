package org.forkseam.direct.know;

import org.forkseam.core.share.StreamKeepers;
import org.forkseam.core.share.StreamOrigin;
import org.forkseam.core.util.BoundedMap;
import org.forkseam.core.util.Clock;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Streams that this router has reported and whose recorder has not confirmed that it has recorded
 * them: it may have ended, be suspended, or be cut off from this router or the store. After a time,
 * the next router in the order of the recorders is asked to record them in its place. Confined to
 * the event loop.
 */
final class UnconfirmedStreams {
    /**
     * Maximum wait for a confirmation. A substitute needs up to 1,350 ms at 340 routers: 1,000
     * between writes, 250 to collect confirmations, and the write.
     */
    static final long TIMEOUT_MILLIS = 1_500;

    private static final long CHECK_MILLIS = 250;

    /** Streams in a message, 16 bytes each. */
    private static final int MAX_STREAMS_PER_MESSAGE = 80;

    private static final int MAX_STREAMS = 8_192;

    private final StreamOrigins.Timer mTimer;
    private final Clock mClock;
    private final StreamOrigins.Network mNetwork;
    private final Substitute mSubstitute;

    /** In the order in which their confirmations are due. */
    private final Map<Long, Pending> mPending = BoundedMap.byInsertion(MAX_STREAMS);

    private boolean mScheduled;
    private long mRequested;

    /** Records streams here, where this router is the next in the order. */
    interface Substitute {
        /** Records streams in place of their recorder. */
        void record(List<StreamOrigin> origins);
    }

    /**
     * A stream that is not confirmed.
     *
     * @param rank place of the router that was told of it last in the order of the recorders
     * @param dueAt time at which it should be confirmed
     */
    private record Pending(StreamOrigin origin, int rank, long dueAt) {}

    /** The routers that are told of streams: a partition and a place in the order. */
    private record Recipient(int partition, int rank) {}

    UnconfirmedStreams(
            StreamOrigins.Timer timer,
            Clock clock,
            StreamOrigins.Network network,
            Substitute substitute) {
        mTimer = timer;
        mClock = clock;
        mNetwork = network;
        mSubstitute = substitute;
    }

    /** Adds a stream that is being reported to its recorder. */
    void add(StreamOrigin origin) {
        if (!mPending.containsKey(origin.stream())) {
            await(origin, 0);
        }
    }

    private void await(StreamOrigin origin, int rank) {
        mPending.put(
                origin.stream(), new Pending(origin, rank, mClock.nowMillis() + TIMEOUT_MILLIS));
        if (!mScheduled) {
            mScheduled = true;
            mTimer.after(CHECK_MILLIS, this::check);
        }
    }

    /** Called when a stream has been recorded. */
    void onRecorded(long stream) {
        mPending.remove(stream);
    }

    /** Asks the next routers to record the streams whose confirmations are overdue. */
    private void check() {
        mScheduled = false;
        Map<Recipient, List<StreamOrigin>> requests = new HashMap<>();
        for (Pending p : overdue()) {
            mPending.remove(p.origin().stream());
            int rank = p.rank() + 1;
            if (rank < StreamOrigins.RECORDERS) {
                int partition =
                        StreamKeepers.partitionOf(p.origin().stream(), mNetwork.partitions());
                requests.computeIfAbsent(new Recipient(partition, rank), r -> new ArrayList<>())
                        .add(p.origin());
                await(p.origin(), rank);
            }
        }
        requests.forEach(this::request);
        if (!mPending.isEmpty() && !mScheduled) {
            mScheduled = true;
            mTimer.after(CHECK_MILLIS, this::check);
        }
    }

    private List<Pending> overdue() {
        long now = mClock.nowMillis();
        List<Pending> overdue = new ArrayList<>();
        for (Pending p : mPending.values()) {
            if (p.dueAt() > now) {
                break;
            }
            overdue.add(p);
        }
        return overdue;
    }

    private void request(Recipient to, List<StreamOrigin> origins) {
        mRequested += origins.size();
        if (mNetwork.isRecorder(to.partition(), to.rank())) {
            mSubstitute.record(origins);
            return;
        }
        for (int i = 0; i < origins.size(); i += MAX_STREAMS_PER_MESSAGE) {
            int end = Math.min(origins.size(), i + MAX_STREAMS_PER_MESSAGE);
            List<StreamOrigin> part = List.copyOf(origins.subList(i, end));
            mNetwork.sendToRecorder(to.partition(), to.rank(), new PeerMessage.RecordStreams(part));
        }
    }

    /** Returns how many streams others were asked to record in place of their recorder. */
    long requested() {
        return mRequested;
    }

    int size() {
        return mPending.size();
    }
}
