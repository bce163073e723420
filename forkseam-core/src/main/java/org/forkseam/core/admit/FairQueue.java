package org.forkseam.core.admit;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;

/**
 * Queue of requests waiting for a target, served by weighted fair share of teams.
 *
 * <p>Implements start-time fair queueing: each team has a virtual time that advances by the inverse
 * of its weight for each request served, and the team with the lowest virtual time is served next.
 * A team that was idle restarts at the current virtual time, so that it accumulates no credit.
 * Within a team, requests are ordered by priority and then by arrival. When the queue is full, the
 * last request of the team with the largest backlog relative to its weight is evicted. Not
 * thread-safe.
 *
 * @param <T> type of the queued items
 * @since 0.1
 */
public final class FairQueue<T> {
    private final int mLimit;
    private final Map<String, Team<T>> mTeams = new HashMap<>();
    private double mVirtualTime;
    private long mArrivals;
    private int mSize;

    private FairQueue(int limit) {
        mLimit = limit;
    }

    /** Creates a queue with a maximum size. */
    public static <T> FairQueue<T> of(int limit) {
        return new FairQueue<>(limit);
    }

    /**
     * Queued request.
     *
     * @param item the queued item
     * @param team the request's team
     * @param priority priority within the team; greater values are served first
     * @param deadlineMillis time after which the request is dropped
     * @param arrival sequence number in order of arrival
     */
    public record Waiting<T>(
            T item, String team, int priority, long deadlineMillis, long arrival) {}

    /**
     * Adds a request and returns the request evicted for it, if any; this may be the added request
     * itself.
     */
    public Optional<Waiting<T>> add(
            T item, String team, double weight, int priority, long deadlineMillis) {
        Waiting<T> w = new Waiting<>(item, team, priority, deadlineMillis, mArrivals++);
        Team<T> t = mTeams.computeIfAbsent(team, k -> new Team<>());
        t.mWeight = weight;
        if (t.mWaiting.isEmpty()) {
            t.mVirtualTime = Math.max(t.mVirtualTime, mVirtualTime);
        }
        t.mWaiting.add(w);
        mSize++;
        if (mSize <= mLimit) {
            return Optional.empty();
        }
        return Optional.of(evict());
    }

    private Waiting<T> evict() {
        Team<T> largest = null;
        for (Team<T> t : mTeams.values()) {
            if (largest == null || t.backlog() > largest.backlog()) {
                largest = t;
            }
        }
        Waiting<T> last = largest.mWaiting.stream().max(Team.ORDER).orElseThrow();
        largest.mWaiting.remove(last);
        mSize--;
        return last;
    }

    /** Removes and returns the next request to serve. */
    public Optional<Waiting<T>> poll() {
        Team<T> next = null;
        for (Team<T> t : mTeams.values()) {
            boolean earlier = next == null || t.mVirtualTime < next.mVirtualTime;
            if (!t.mWaiting.isEmpty() && earlier) {
                next = t;
            }
        }
        if (next == null) {
            return Optional.empty();
        }
        mVirtualTime = next.mVirtualTime;
        next.mVirtualTime += 1 / next.mWeight;
        mSize--;
        Waiting<T> w = next.mWaiting.poll();
        removeIdleTeams();
        return Optional.of(w);
    }

    /** Removes and returns the requests whose deadline has passed. */
    public List<Waiting<T>> expire(long nowMillis) {
        List<Waiting<T>> expired = new ArrayList<>();
        for (Team<T> t : mTeams.values()) {
            for (Iterator<Waiting<T>> i = t.mWaiting.iterator(); i.hasNext(); ) {
                Waiting<T> w = i.next();
                if (w.deadlineMillis() <= nowMillis) {
                    expired.add(w);
                    i.remove();
                }
            }
        }
        mSize -= expired.size();
        return expired;
    }

    /** Removes a request; returns false if it is not queued. */
    public boolean remove(T item) {
        for (Team<T> t : mTeams.values()) {
            if (t.mWaiting.removeIf(w -> w.item() == item)) {
                mSize--;
                return true;
            }
        }
        return false;
    }

    /** Returns how many requests would be served before a new request of this team. */
    public int aheadOf(String team, double weight) {
        Team<T> own = mTeams.get(team);
        int ownSize = own == null ? 0 : own.mWaiting.size();
        double rounds = (ownSize + 1) / weight;
        double ahead = ownSize;
        for (Map.Entry<String, Team<T>> e : mTeams.entrySet()) {
            if (!e.getKey().equals(team)) {
                Team<T> t = e.getValue();
                ahead += Math.min(t.mWaiting.size(), rounds * t.mWeight);
            }
        }
        return (int) Math.ceil(ahead);
    }

    /** Returns the number of queued requests. */
    public int size() {
        return mSize;
    }

    /** Drops idle teams whose virtual time is not ahead of the current one. */
    private void removeIdleTeams() {
        if (mTeams.size() > mLimit) {
            mTeams.values().removeIf(t -> t.mWaiting.isEmpty() && t.mVirtualTime <= mVirtualTime);
        }
    }

    /** Queued requests of one team. */
    private static final class Team<T> {
        static final Comparator<Waiting<?>> ORDER =
                Comparator.<Waiting<?>>comparingInt(w -> -w.priority())
                        .thenComparingLong(Waiting::arrival);

        private final PriorityQueue<Waiting<T>> mWaiting = new PriorityQueue<>(ORDER);
        private double mWeight = 1;
        private double mVirtualTime;

        double backlog() {
            return mWaiting.size() / mWeight;
        }
    }
}
