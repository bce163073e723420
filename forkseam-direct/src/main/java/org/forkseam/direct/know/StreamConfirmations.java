package org.forkseam.direct.know;

import org.forkseam.core.util.BoundedMap;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.LongConsumer;

/**
 * Confirms to the routers that have reported streams that this router has recorded them. Confined
 * to the event loop.
 *
 * <p>Confirmations to one router are collected, so that there are fewer than streams.
 */
final class StreamConfirmations {
    /** Time for which confirmations are collected. */
    static final long COLLECT_MILLIS = 250;

    /** Streams in a message, 8 bytes each. */
    private static final int MAX_STREAMS_PER_MESSAGE = 150;

    private static final int MAX_STREAMS = 16_384;

    private final StreamOrigins.Timer mTimer;
    private final StreamOrigins.Network mNetwork;
    private final LongConsumer mOwn;

    /** The router that has reported each stream; empty if it is this one. */
    private final Map<Long, Optional<InetSocketAddress>> mReporters =
            BoundedMap.byInsertion(MAX_STREAMS);

    private final Map<InetSocketAddress, List<Long>> mCollected = new HashMap<>();
    private boolean mScheduled;

    /**
     * Creates an instance without streams.
     *
     * @param own receives the streams that this router itself has reported
     */
    StreamConfirmations(
            StreamOrigins.Timer timer, StreamOrigins.Network network, LongConsumer own) {
        mTimer = timer;
        mNetwork = network;
        mOwn = own;
    }

    /** Remembers who is to be told once a stream has been recorded. */
    void await(long stream, Optional<InetSocketAddress> reporter) {
        mReporters.put(stream, reporter);
    }

    /** Confirms that a stream has been recorded. */
    void onRecorded(long stream) {
        Optional<InetSocketAddress> reporter = mReporters.remove(stream);
        if (reporter == null) {
            return;
        }
        if (reporter.isEmpty()) {
            mOwn.accept(stream);
            return;
        }
        mCollected.computeIfAbsent(reporter.get(), r -> new ArrayList<>()).add(stream);
        if (!mScheduled) {
            mScheduled = true;
            mTimer.after(COLLECT_MILLIS, this::send);
        }
    }

    private void send() {
        mScheduled = false;
        mCollected.forEach(this::send);
        mCollected.clear();
    }

    private void send(InetSocketAddress reporter, List<Long> streams) {
        for (int i = 0; i < streams.size(); i += MAX_STREAMS_PER_MESSAGE) {
            int end = Math.min(streams.size(), i + MAX_STREAMS_PER_MESSAGE);
            List<Long> part = List.copyOf(streams.subList(i, end));
            mNetwork.sendTo(reporter, new PeerMessage.StreamsRecorded(part));
        }
    }
}
