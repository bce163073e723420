package org.forkseam.core.share;

import org.forkseam.core.util.BoundedMap;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import java.util.function.ToIntFunction;

/**
 * Queues facts of one kind for gossip between routers.
 *
 * <p>Each router that learns a fact sends it a fixed number of times, each time to a router chosen
 * at random, so that it reaches nearly all routers. Messages and queue are bounded. Not
 * thread-safe.
 *
 * @param <T> the type of the facts, with {@code equals} and {@code hashCode}
 * @since 0.4
 */
public final class GossipQueue<T> {
    /** Number of times a router sends a fact; enough to reach about 99% of the routers. */
    private static final int MAX_SENDS = 4;

    /** Limit of queued facts; more could not be sent while still useful. */
    private static final int MAX_PENDING = 400;

    private final int mMaxPerMessage;
    private final ToIntFunction<T> mPriority;
    private final Map<T, Integer> mSendCounts = BoundedMap.byInsertion(MAX_PENDING);

    private GossipQueue(int maxPerMessage, ToIntFunction<T> priority) {
        mMaxPerMessage = maxPerMessage;
        mPriority = priority;
    }

    /**
     * Creates an empty queue.
     *
     * @param maxPerMessage maximum number of facts in a message
     * @param priority returns a fact's priority: highest first, then newest first
     */
    public static <T> GossipQueue<T> of(int maxPerMessage, ToIntFunction<T> priority) {
        return new GossipQueue<>(maxPerMessage, priority);
    }

    /** Adds a fact that this router has just learned. */
    public void add(T fact) {
        mSendCounts.putIfAbsent(fact, 0);
    }

    /** Returns the facts to send in the next message. */
    public List<T> nextBatch() {
        if (mSendCounts.isEmpty()) {
            return List.of();
        }
        List<T> facts = mSendCounts.size() <= mMaxPerMessage ? all() : highestPriority();
        facts.forEach(this::recordSend);
        return facts;
    }

    private List<T> all() {
        return new ArrayList<>(mSendCounts.keySet());
    }

    private List<T> highestPriority() {
        List<T> facts = all();
        Collections.reverse(facts);
        facts.sort(Comparator.comparingInt(mPriority).reversed());
        return List.copyOf(facts.subList(0, mMaxPerMessage));
    }

    private void recordSend(T fact) {
        int count = mSendCounts.merge(fact, 1, Integer::sum);
        if (count >= MAX_SENDS) {
            mSendCounts.remove(fact);
        }
    }

    /** Removes facts that are obsolete. */
    public void removeIf(Predicate<T> obsolete) {
        mSendCounts.keySet().removeIf(obsolete);
    }
}
