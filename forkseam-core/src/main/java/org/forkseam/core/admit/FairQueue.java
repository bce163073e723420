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
 * Holds the requests that wait for one target, and hands them out by weighted fair share of teams.
 *
 * <p>Start-time fair queueing: each team has a virtual time that grows by one over its weight for
 * each request served, and the team that is furthest behind goes next; a team that was idle starts
 * at the present virtual time, so nobody saves up. Inside a team the higher priority goes first,
 * then the earlier arrival. When the queue is full, the team that holds most for its weight gives
 * up its last request. Not thread-safe.
 *
 * @param <T> what waits
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

    /** Creates a queue of at most so many requests. */
    public static <T> FairQueue<T> of(int limit) {
        return new FairQueue<>(limit);
    }

    /**
     * Holds one waiting request.
     *
     * @param item what waits
     * @param team its team
     * @param priority greater goes first within the team
     * @param deadlineMillis when waiting stops to make sense
     * @param arrival order of arrival
     */
    public record Waiting<T>(
            T item, String team, int priority, long deadlineMillis, long arrival) {}

    /**
     * Adds a request and returns what had to leave for it: empty if there was room, the request
     * itself if its own team is the one that holds most.
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
        return Optional.of(pushOut());
    }

    private Waiting<T> pushOut() {
        Team<T> most = null;
        for (Team<T> t : mTeams.values()) {
            if (most == null || t.backlog() > most.backlog()) {
                most = t;
            }
        }
        Waiting<T> last = most.mWaiting.stream().max(Team.ORDER).orElseThrow();
        most.mWaiting.remove(last);
        mSize--;
        return last;
    }

    /** Takes the request whose turn it is. */
    public Optional<Waiting<T>> poll() {
        Team<T> next = null;
        for (Team<T> t : mTeams.values()) {
            boolean behind = next == null || t.mVirtualTime < next.mVirtualTime;
            if (!t.mWaiting.isEmpty() && behind) {
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
        dropIdleTeams();
        return Optional.of(w);
    }

    /** Takes out the requests whose deadline has passed. */
    public List<Waiting<T>> expire(long nowMillis) {
        List<Waiting<T>> gone = new ArrayList<>();
        for (Team<T> t : mTeams.values()) {
            for (Iterator<Waiting<T>> i = t.mWaiting.iterator(); i.hasNext(); ) {
                Waiting<T> w = i.next();
                if (w.deadlineMillis() <= nowMillis) {
                    gone.add(w);
                    i.remove();
                }
            }
        }
        mSize -= gone.size();
        return gone;
    }

    /** Takes a request out; returns false if it does not wait any more. */
    public boolean remove(T item) {
        for (Team<T> t : mTeams.values()) {
            if (t.mWaiting.removeIf(w -> w.item() == item)) {
                mSize--;
                return true;
            }
        }
        return false;
    }

    /** Returns how many requests of other teams would be served before a new one of this team. */
    public int aheadOf(String team, double weight) {
        Team<T> own = mTeams.get(team);
        int mine = own == null ? 0 : own.mWaiting.size();
        double rounds = (mine + 1) / weight;
        double ahead = mine;
        for (Map.Entry<String, Team<T>> e : mTeams.entrySet()) {
            if (!e.getKey().equals(team)) {
                Team<T> t = e.getValue();
                ahead += Math.min(t.mWaiting.size(), rounds * t.mWeight);
            }
        }
        return (int) Math.ceil(ahead);
    }

    /** Returns how many requests wait. */
    public int size() {
        return mSize;
    }

    /** A team that is not behind the present virtual time carries nothing worth remembering. */
    private void dropIdleTeams() {
        if (mTeams.size() > mLimit) {
            mTeams.values().removeIf(t -> t.mWaiting.isEmpty() && t.mVirtualTime <= mVirtualTime);
        }
    }

    /** Holds one team's waiting requests. */
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
