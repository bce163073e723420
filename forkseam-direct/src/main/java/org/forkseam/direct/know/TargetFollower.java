package org.forkseam.direct.know;

import org.forkseam.core.member.TargetChange;
import org.forkseam.core.member.TargetDirectory;
import org.forkseam.core.member.TargetEntry;
import org.forkseam.core.member.VersionHistory;
import org.forkseam.core.share.TargetListDelta;
import org.forkseam.core.store.StorePosition;
import org.forkseam.core.store.StoreTimestamp;
import org.forkseam.direct.log.Event;
import org.forkseam.direct.spi.FleetSource;
import org.forkseam.direct.spi.Versioned;

import java.util.List;
import java.util.Locale;
import java.util.concurrent.Future;
import java.util.function.Consumer;

/**
 * Follows the list of targets. One router reads it and broadcasts the changes; a router that missed
 * a change, or receives nothing, reads the list itself. Confined to the event loop.
 */
final class TargetFollower extends FollowerBase {
    /** Entries in one message, at some 90 bytes each, so that it fits into a datagram. */
    private static final int MAX_ENTRIES_PER_MESSAGE = 12;

    /**
     * Limits the datagrams that one change takes over all routers. Beyond it the uplink of the
     * reader drops some of them, and the receivers read the list anyway. The limit is 0.5 MB, which
     * takes 0.4 s of a link of 10 Mbit/s.
     */
    private static final int MAX_MESSAGES = 400;

    /** Minimum interval between read attempts triggered by messages of other routers. */
    private static final long MIN_RETRY_MILLIS = 500;

    /**
     * Scales the random delay of the read at the end of the grace period with the number of
     * routers, so that one reads and the others hear of it first.
     */
    private static final long GRACE_END_JITTER_MILLIS_PER_ROUTER = 2;

    private final FleetSource mSource;
    private final TargetDirectory mTargets = TargetDirectory.create();
    private final VersionHistory mVersions;
    private long mPauseMillis;
    private TargetListDelta.Snapshot mList = TargetListDelta.Snapshot.of(List.of());
    private final Consumer<TargetChange> mOnChange;
    private StoreTimestamp mReadAt = StoreTimestamp.NEVER;
    private int mPartsLeft;
    private int mFailures;
    private long mConfirmedAt;
    private long mStoreClockOffset;
    private StoreTimestamp mOffsetReadAt = StoreTimestamp.NEVER;
    private long mEarliestClockOffset;
    private boolean mHasList;
    private boolean mReading;
    private int mReads;
    private long mLastAttemptAt = Long.MIN_VALUE / 2;
    private Future<?> mNextRead;
    private Future<?> mGraceEndRead;

    /**
     * Creates a follower without a list.
     *
     * @param pauseMillis interval between reads of the list, over all routers
     * @param onChange receives the changes of the list after the first one
     */
    TargetFollower(
            Context context,
            FleetSource source,
            long pauseMillis,
            Consumer<TargetChange> onChange) {
        super(context);
        mSource = source;
        mOnChange = onChange;
        mPauseMillis = pauseMillis;
        mVersions = VersionHistory.of(pauseMillis);
    }

    void setPauseMillis(long millis) {
        mPauseMillis = millis;
        mVersions.setReadInterval(millis);
    }

    TargetDirectory targets() {
        return mTargets;
    }

    /** Returns the software versions of each pool. */
    VersionHistory versions() {
        return mVersions;
    }

    /** Returns whether any list is known. */
    boolean hasList() {
        return mHasList;
    }

    /** Returns when the list was last confirmed to be the newest. */
    long confirmedAt() {
        return mConfirmedAt;
    }

    // ---------------------------------------------------------------- store

    void start() {
        read(Audience.ALL);
    }

    /** Recipients of a read: a read that a message triggered is not broadcast again. */
    private enum Audience {
        ALL,
        NONE
    }

    private void read(Audience audience) {
        if (isStopped() || mReading) {
            return;
        }
        startRead(audience);
    }

    private void startRead(Audience audience) {
        mReading = true;
        mLastAttemptAt = now();
        int read = ++mReads;
        mSource.readTargets()
                .whenComplete(
                        (list, e) -> {
                            if (read == mReads) {
                                onList(list, e, audience);
                            }
                        });
    }

    /** Reads immediately because the store is probably reachable again; abandons a pending read. */
    void retry() {
        if (!isStopped() && now() - mLastAttemptAt >= MIN_RETRY_MILLIS) {
            startRead(Audience.ALL);
        }
    }

    private void onList(Versioned<List<TargetEntry>> read, Throwable failure, Audience audience) {
        mReading = false;
        if (failure != null) {
            storeHealth().onFailure(failure);
            scheduleRead(backoffMillis(++mFailures), this::start);
            return;
        }
        storeHealth().onSuccess();
        mFailures = 0;
        long now = now();
        mStoreClockOffset = now - read.readAt();
        mOffsetReadAt = read.readTime();
        mEarliestClockOffset = mLastAttemptAt - read.readAt();
        if (read.position().isBefore(mTargets.position())) {
            Event.of("list_passed_over")
                    .with("read", read.position())
                    .with("known", mTargets.position())
                    .log();
            scheduleNextRead();
            return;
        }
        TargetListDelta.Snapshot list = TargetListDelta.Snapshot.of(read.value());
        TargetListDelta delta =
                TargetListDelta.between(mList.entries(), list, read.readAt(), read.position());
        boolean first = !mHasList;
        apply(list, read.position(), now);
        mVersions.onTargets(mTargets.all(), mLastAttemptAt, now);
        mReadAt = read.readTime();
        mPartsLeft = 0;
        if (audience == Audience.ALL) {
            broadcast(first ? List.of() : delta.split(MAX_ENTRIES_PER_MESSAGE), delta);
        }
        scheduleNextRead();
    }

    private void scheduleNextRead() {
        scheduleRead(mPauseMillis + jitterMillis(), this::readIfDue);
    }

    /**
     * Schedules a read for the end of the grace period in which missing targets are kept, or
     * possibly outdated rows ignored. The next regular read would be too late for targets that have
     * left.
     */
    private void scheduleGraceEndRead() {
        long wait = millisToGraceEnd(now());
        if (wait < Long.MAX_VALUE && (mGraceEndRead == null || mGraceEndRead.isDone())) {
            long span =
                    Math.min(
                            JITTER_MILLIS,
                            GRACE_END_JITTER_MILLIS_PER_ROUTER * peers().peerCount());
            mGraceEndRead =
                    scheduleTimeout(
                            Math.max(0, wait) + random().nextLong(span + 1), this::readAtGraceEnd);
        }
    }

    /** Reads the list at the end of the grace period unless a message has resolved it. */
    private void readAtGraceEnd() {
        if (millisToGraceEnd(now()) < Long.MAX_VALUE) {
            read(Audience.ALL);
        }
    }

    /**
     * Returns whether a list was read before the grace period of missing targets ended, so that it
     * cannot show which of them have left.
     */
    private boolean isBeforeGraceEnd(StoreTimestamp readAt) {
        long now = now();
        return mTargets.retainsUnlisted()
                && now >= mTargets.retainUnlistedUntil()
                && toLocalTime(readAt) < mTargets.retainUnlistedUntil();
    }

    /**
     * Returns the time until the end of the grace period; {@link Long#MAX_VALUE} if there is none.
     */
    private long millisToGraceEnd(long now) {
        long until = Long.MAX_VALUE;
        if (mTargets.retainsUnlisted()) {
            until = mTargets.retainUnlistedUntil() - now;
        }
        if (mTargets.ignoresStaleRows()) {
            until = Math.min(until, mTargets.ignoreStaleRowsUntil() - now);
        }
        return until;
    }

    private void apply(TargetListDelta.Snapshot list, StorePosition position, long confirmedAt) {
        mConfirmedAt = confirmedAt;
        mTargets.apply(position, list.entries(), now()).forEach(this::onChange);
        mHasList = true;
        mList = list;
        scheduleGraceEndRead();
    }

    /** Schedules the next read, replacing the scheduled one. */
    private void scheduleRead(long millis, Runnable read) {
        if (mNextRead != null) {
            mNextRead.cancel(false);
        }
        mNextRead = scheduleTimeout(millis, read);
    }

    /** Reads the list unless another router has confirmed it within the interval. */
    private void readIfDue() {
        long wait = mConfirmedAt + mPauseMillis - now();
        if (wait > 0) {
            scheduleRead(wait + jitterMillis(), this::readIfDue);
            return;
        }
        read(Audience.ALL);
    }

    private void onChange(TargetChange c) {
        logChange(c);
        if (mHasList) {
            notifyListener(() -> mOnChange.accept(c));
        }
    }

    private void logChange(TargetChange c) {
        Event.always("target_" + c.kind().name().toLowerCase(Locale.ROOT))
                .with("target", c.entry().id())
                .with("pool", c.entry().pool())
                .with("address", c.entry().address())
                .with("list", mTargets.position())
                .log();
    }

    // ---------------------------------------------------------------- other routers

    /**
     * Broadcasts the parts of a change; if there are none, too many, or one is too long, only a
     * notice of the read.
     */
    private void broadcast(List<TargetListDelta> parts, TargetListDelta change) {
        boolean few = parts.size() * (long) peers().peerCount() <= MAX_MESSAGES;
        if (few
                && !parts.isEmpty()
                && parts.stream().allMatch(s -> peers().broadcast(new PeerMessage.Targets(s)))) {
            return;
        }
        peers().broadcast(
                        new PeerNotice(
                                PeerNotice.Kind.LIST,
                                change.readTime(),
                                change.resultFingerprint()));
    }

    /** Applies another router's notice that it has read the list. */
    void onNotice(PeerNotice n) {
        if (isOutdated(n.readAt())) {
            return;
        }
        if (n.fingerprint() == mList.fingerprint()) {
            confirm(n.readAt());
        } else {
            read(Audience.NONE);
        }
    }

    /** Applies another router's change of the list; parts of one change have the same read time. */
    void onListChange(TargetListDelta delta) {
        boolean nextPart = mPartsLeft > 0 && delta.readTime().equals(mReadAt);
        if (isOutdated(delta.readTime()) && !nextPart) {
            return;
        }
        if (delta.resultFingerprint() == mList.fingerprint()) {
            confirm(delta.readTime());
            return;
        }
        TargetListDelta.Snapshot list = delta.applyTo(mList);
        if (!delta.isConsistent(list) || delta.position().isBefore(mTargets.position())) {
            read(Audience.NONE);
            return;
        }
        mReadAt = delta.readTime();
        mPartsLeft = delta.remainingSteps();
        apply(list, delta.position(), toLocalTime(mReadAt));
        updateVersions(mPartsLeft == 0 ? mReadAt : StoreTimestamp.NEVER);
    }

    /** Returns whether a read is older than the known list, or too old to end the grace period. */
    private boolean isOutdated(StoreTimestamp readAt) {
        return !readAt.isAfter(mReadAt) || !mHasList || isBeforeGraceEnd(readAt);
    }

    /**
     * Records that the known list was the newest at this time, and ends the grace period if it is
     * due.
     */
    private void confirm(StoreTimestamp readAt) {
        mReadAt = readAt;
        mConfirmedAt = toLocalTime(readAt);
        updateVersions(readAt);
        if (mTargets.retainsUnlisted() || mTargets.ignoresStaleRows()) {
            apply(mList, mTargets.position(), mConfirmedAt);
        }
    }

    /**
     * Converts a time of the store's clock to the local clock; never later than now, since the
     * store's clock may have restarted.
     */
    private long toLocalTime(StoreTimestamp readAt) {
        return Math.min(now(), readAt.millis() + mStoreClockOffset);
    }

    /**
     * Updates the versions after another router's read. A read is converted with the start of this
     * router's own read of the same era, so that its time is not estimated too late.
     *
     * @param readAt time of the read; {@link StoreTimestamp#NEVER} if only a part of it is known
     */
    private void updateVersions(StoreTimestamp readAt) {
        boolean sameEra =
                readAt.isAfter(StoreTimestamp.NEVER) && readAt.era() == mOffsetReadAt.era();
        long currentAt = sameEra ? readAt.millis() + mEarliestClockOffset : Long.MIN_VALUE / 2;
        mVersions.onTargets(mTargets.all(), Math.min(now(), currentAt), now());
    }

    /** Applies the list of another router's snapshot while the store is unavailable. */
    void onSnapshot(StorePosition position, List<TargetEntry> list) {
        if (list.isEmpty()) {
            return;
        }
        mTargets.apply(position, list, now()).forEach(this::onChange);
        mHasList = true;
        mVersions.onTargets(mTargets.all(), Long.MIN_VALUE / 2, now());
    }
}
