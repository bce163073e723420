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
 * Passes on facts of one kind from router to router.
 *
 * <p>A fact is passed on a few times by each router that learns it, each time to another chosen at
 * random, so that it reaches nearly all; what a router sends has a bound whatever happens. Not
 * thread-safe.
 *
 * @param <T> kind of fact, with {@code equals} and {@code hashCode}
 * @since 0.4
 */
public final class FactExchange<T> {
    /** Times that a router passes a fact on: of 100 routers, one is left without it. */
    private static final int TIMES = 4;

    /** Facts that wait to be passed on; more at once are too many to be of use in time. */
    private static final int MAX_WAITING = 400;

    private final int mMaxFacts;
    private final ToIntFunction<T> mRank;
    private final Map<T, Integer> mTimesSent = BoundedMap.byInsertion(MAX_WAITING);

    private FactExchange(int maxFacts, ToIntFunction<T> rank) {
        mMaxFacts = maxFacts;
        mRank = rank;
    }

    /**
     * Creates an exchange with nothing to tell.
     *
     * @param maxFacts facts in a message
     * @param rank of a fact: those of the highest are told first, the newest first among equals
     */
    public static <T> FactExchange<T> of(int maxFacts, ToIntFunction<T> rank) {
        return new FactExchange<>(maxFacts, rank);
    }

    /** Takes in a fact that this router did not know. */
    public void add(T fact) {
        mTimesSent.putIfAbsent(fact, 0);
    }

    /** Returns what to tell another router now. */
    public List<T> digest() {
        if (mTimesSent.isEmpty()) {
            return List.of();
        }
        List<T> facts = mTimesSent.size() <= mMaxFacts ? all() : foremost();
        facts.forEach(this::noteSent);
        return facts;
    }

    private List<T> all() {
        return new ArrayList<>(mTimesSent.keySet());
    }

    private List<T> foremost() {
        List<T> facts = all();
        Collections.reverse(facts);
        facts.sort(Comparator.comparingInt(mRank).reversed());
        return List.copyOf(facts.subList(0, mMaxFacts));
    }

    private void noteSent(T fact) {
        int times = mTimesSent.merge(fact, 1, Integer::sum);
        if (times >= TIMES) {
            mTimesSent.remove(fact);
        }
    }

    /** Drops facts that need not be told any more. */
    public void removeIf(Predicate<T> useless) {
        mTimesSent.keySet().removeIf(useless);
    }
}
