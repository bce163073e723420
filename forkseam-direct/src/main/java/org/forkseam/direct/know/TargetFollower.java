package org.forkseam.direct.know;

import org.forkseam.core.member.TargetChange;
import org.forkseam.core.member.TargetDirectory;
import org.forkseam.core.member.TargetEntry;
import org.forkseam.core.share.TargetListDelta;
import org.forkseam.core.store.StorePosition;
import org.forkseam.core.store.StoreTime;
import org.forkseam.direct.log.Event;
import org.forkseam.direct.spi.FleetSource;
import org.forkseam.direct.spi.Versioned;

import java.util.List;
import java.util.Locale;
import java.util.concurrent.Future;
import java.util.function.Consumer;

/**
 * Follows the list of targets. One router reads it for all and tells the others what has changed;
 * who has missed a change, or hears nothing, reads for itself. Used on the event loop.
 */
final class TargetFollower extends FollowerBase {
    /** Entries told in one message: each takes some 90 bytes of 1,400. */
    private static final int STEP_ENTRIES = 12;

    /**
     * Messages that a change may take, over all routers: 0.5 MB, 0.4 s of the narrowest links. With
     * more the reader's link drops part of them, and all read the list after the message is lost:
     * at 298 routers that was 392 to 470 KB a second each, in place of 259 without.
     */
    private static final int MAX_MESSAGES = 400;

    /**
     * Least pause between the begin of two tries when other routers show that the way to the store
     * may be back; about half the time for which a try waits for its answer.
     */
    private static final long MIN_RETRY_MILLIS = 500;

    /**
     * When it is decided what is kept after an outage, routers read at moments of such a span,
     * times their number: one reads, and the others hear of it before their moment.
     */
    private static final long DECISION_SPREAD_MILLIS_A_ROUTER = 2;

    private final FleetSource mSource;
    private final TargetDirectory mTargets = TargetDirectory.create();
    private long mPauseMillis;
    private TargetListDelta.Snapshot mList = TargetListDelta.Snapshot.of(List.of());
    private final Consumer<String> mOnRestart;
    private StoreTime mReadAt = StoreTime.NEVER;
    private int mStepsLeft;
    private int mFailures;
    private long mConfirmedAt;
    private long mSourceOffset;
    private boolean mListed;
    private boolean mReading;
    private int mReads;
    private long mTriedAt = Long.MIN_VALUE / 2;
    private Future<?> mNext;
    private Future<?> mDecision;

    /**
     * Creates a follower that knows nothing yet.
     *
     * @param pauseMillis between two reads of the list, by whatever router
     * @param onRestart is told the ids of targets that have started again
     */
    TargetFollower(
            Surroundings around, FleetSource source, long pauseMillis, Consumer<String> onRestart) {
        super(around);
        mSource = source;
        mOnRestart = onRestart;
        mPauseMillis = pauseMillis;
    }

    void setPauseMillis(long millis) {
        mPauseMillis = millis;
    }

    TargetDirectory targets() {
        return mTargets;
    }

    /** Returns whether any list is known. */
    boolean isListed() {
        return mListed;
    }

    /** Returns when the list was last known to be the newest. */
    long confirmedAt() {
        return mConfirmedAt;
    }

    // ---------------------------------------------------------------- the store

    void start() {
        read(Telling.ALL);
    }

    /** Says whom a read is told to: only one that nobody else has made is told to all. */
    private enum Telling {
        ALL,
        NOBODY
    }

    private void read(Telling telling) {
        if (isStopped() || mReading) {
            return;
        }
        begin(telling);
    }

    private void begin(Telling telling) {
        mReading = true;
        mTriedAt = now();
        int read = ++mReads;
        mSource.readTargets()
                .whenComplete(
                        (list, e) -> {
                            if (read == mReads) {
                                onList(list, e, telling);
                            }
                        });
    }

    /** Reads at once, the way to the store being likely to be back; a read that hangs is left. */
    void retry() {
        if (!isStopped() && now() - mTriedAt >= MIN_RETRY_MILLIS) {
            begin(Telling.ALL);
        }
    }

    private void onList(Versioned<List<TargetEntry>> read, Throwable failure, Telling telling) {
        mReading = false;
        if (failure != null) {
            watch().onNoAnswer(failure);
            readIn(pauseAfter(++mFailures), this::start);
            return;
        }
        watch().onAnswer();
        mFailures = 0;
        long now = now();
        mSourceOffset = now - read.readAt();
        if (read.position().isBefore(mTargets.position())) {
            Event.of("list_passed_over")
                    .with("read", read.position())
                    .with("known", mTargets.position())
                    .log();
            readNext();
            return;
        }
        TargetListDelta.Snapshot list = TargetListDelta.Snapshot.of(read.value());
        TargetListDelta news =
                TargetListDelta.between(mList.entries(), list, read.readAt(), read.position());
        boolean first = !mListed;
        take(list, read.position(), now);
        mReadAt = read.readTime();
        mStepsLeft = 0;
        if (telling == Telling.ALL) {
            tell(first ? List.of() : news.split(STEP_ENTRIES), news);
        }
        readNext();
    }

    private void readNext() {
        readIn(mPauseMillis + spread(), this::readIfDue);
    }

    /**
     * Plans a read for when the time is over for which targets are kept whose rows may have lapsed,
     * or passed over whose rows may be old. Until the next regular one, a target that had left was
     * kept for up to a second more than the promise allows.
     */
    private void planDecision() {
        long wait = untilDecided(now());
        if (wait < Long.MAX_VALUE && (mDecision == null || mDecision.isDone())) {
            long span = Math.min(SPREAD_MILLIS, DECISION_SPREAD_MILLIS_A_ROUTER * link().others());
            mDecision = later(Math.max(0, wait) + random().nextLong(span + 1), this::decide);
        }
    }

    /** Reads the list unless another router has read it since the time was over, and told it. */
    private void decide() {
        if (untilDecided(now()) < Long.MAX_VALUE) {
            read(Telling.ALL);
        }
    }

    /** Returns whether a list was read too early to tell what has left of what is kept. */
    private boolean isTooEarly(StoreTime readAt) {
        long now = now();
        return mTargets.keepsMissing()
                && now >= mTargets.keepMissingUntil()
                && inOwnTime(readAt) < mTargets.keepMissingUntil();
    }

    /** Returns after how long what is kept or passed over is decided; at most never. */
    private long untilDecided(long now) {
        long until = Long.MAX_VALUE;
        if (mTargets.keepsMissing()) {
            until = mTargets.keepMissingUntil() - now;
        }
        if (mTargets.passesOver()) {
            until = Math.min(until, mTargets.passOverUntil() - now);
        }
        return until;
    }

    private void take(TargetListDelta.Snapshot list, StorePosition position, long confirmedAt) {
        mListed = true;
        mConfirmedAt = confirmedAt;
        mTargets.apply(position, list.entries(), now()).forEach(this::onChange);
        mList = list;
        planDecision();
    }

    /** Plans the next read in place of the one planned: a read that a notice began adds none. */
    private void readIn(long millis, Runnable read) {
        if (mNext != null) {
            mNext.cancel(false);
        }
        mNext = later(millis, read);
    }

    /** Reads the list unless another router has just read the same one. */
    private void readIfDue() {
        long wait = mConfirmedAt + mPauseMillis - now();
        if (wait > 0) {
            readIn(wait + spread(), this::readIfDue);
            return;
        }
        read(Telling.ALL);
    }

    private void onChange(TargetChange c) {
        logChange(c);
        if (c.kind() == TargetChange.Kind.RESTARTED) {
            mOnRestart.accept(c.entry().id());
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

    /** Tells the steps of a change; if one does not fit, or there is none, what was read. */
    private void tell(List<TargetListDelta> steps, TargetListDelta whole) {
        boolean few = steps.size() * (long) link().others() <= MAX_MESSAGES;
        if (few
                && !steps.isEmpty()
                && steps.stream().allMatch(s -> link().tell(new PeerMessage.Targets(s)))) {
            return;
        }
        link().tell(
                        new PeerNotice(
                                PeerNotice.Kind.LIST, whole.readTime(), whole.resultFingerprint()));
    }

    /** Takes it in that another router has read the list, and found this one's or another. */
    void onNotice(PeerNotice n) {
        if (isOutOfTurn(n.readAt())) {
            return;
        }
        if (n.fingerprint() == mList.fingerprint()) {
            confirm(n.readAt());
        } else {
            read(Telling.NOBODY);
        }
    }

    /**
     * Takes it in that another router has read the list and found it changed; steps of one change
     * have the same time of reading.
     */
    void onNews(TargetListDelta news) {
        boolean nextStep = mStepsLeft > 0 && news.readTime().equals(mReadAt);
        if (isOutOfTurn(news.readTime()) && !nextStep) {
            return;
        }
        if (news.resultFingerprint() == mList.fingerprint()) {
            confirm(news.readTime());
            return;
        }
        TargetListDelta.Snapshot list = news.applyTo(mList);
        if (!news.isConsistent(list) || news.position().isBefore(mTargets.position())) {
            read(Telling.NOBODY);
            return;
        }
        mReadAt = news.readTime();
        mStepsLeft = news.remainingSteps();
        take(list, news.position(), inOwnTime(mReadAt));
    }

    /** What is kept for a while after an outage is decided by a list that was read after it. */
    private boolean isOutOfTurn(StoreTime readAt) {
        return !readAt.isAfter(mReadAt) || !mListed || isTooEarly(readAt);
    }

    /** Takes in that the list known was the newest then, and decides by it what is due. */
    private void confirm(StoreTime readAt) {
        mReadAt = readAt;
        mConfirmedAt = inOwnTime(readAt);
        if (mTargets.keepsMissing() || mTargets.passesOver()) {
            take(mList, mTargets.position(), mConfirmedAt);
        }
    }

    /** Translates a moment of the store's clock; one that has started anew tells no age. */
    private long inOwnTime(StoreTime readAt) {
        return Math.min(now(), readAt.millis() + mSourceOffset);
    }

    /** Takes another router's list while the store cannot be read. */
    void onSnapshot(StorePosition position, List<TargetEntry> list) {
        if (list.isEmpty()) {
            return;
        }
        mListed = true;
        mTargets.apply(position, list, now()).forEach(this::onChange);
    }
}
