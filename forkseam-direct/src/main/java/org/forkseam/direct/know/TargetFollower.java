package org.forkseam.direct.know;

import org.forkseam.core.member.TargetChange;
import org.forkseam.core.member.TargetDirectory;
import org.forkseam.core.member.TargetEntry;
import org.forkseam.core.share.TargetNews;
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

    private final FleetSource mSource;
    private final TargetDirectory mTargets = TargetDirectory.create();
    private long mPauseMillis;
    private TargetNews.Listed mList = TargetNews.Listed.of(List.of());
    private final Consumer<String> mOnRestart;
    private long mReadAt = Long.MIN_VALUE;
    private int mStepsLeft;
    private int mFailures;
    private long mConfirmedAt;
    private long mSourceOffset;
    private boolean mListed;
    private boolean mReading;
    private int mReads;
    private long mTriedAt = Long.MIN_VALUE / 2;
    private Future<?> mNext;

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
        watch().onAnswer(read.position());
        mFailures = 0;
        long now = now();
        mSourceOffset = now - read.readAt();
        TargetNews.Listed list = TargetNews.Listed.of(read.value());
        TargetNews news = TargetNews.between(mList.entries(), list, read.readAt(), read.revision());
        boolean first = !mListed;
        if (read.revision() < mTargets.revision()) {
            Event.of("list_passed_over")
                    .with("read", read.position())
                    .with("known", mTargets.revision())
                    .log();
        }
        take(list, read.revision(), now);
        mReadAt = read.readAt();
        mStepsLeft = 0;
        if (telling == Telling.ALL) {
            tell(first ? List.of() : news.inSteps(STEP_ENTRIES), news);
        }
        readNext(now);
    }

    /**
     * Plans the next read: when the time is over for which targets are kept whose rows may have
     * lapsed, if that is sooner than the regular read. Until the next regular one, a target that
     * had left was kept for up to a second more than the promise allows.
     */
    private void readNext(long now) {
        long regular = mPauseMillis + spread();
        long untilDecided = mTargets.keepMissingUntil() - now;
        if (mTargets.keepsMissing() && untilDecided < regular) {
            readIn(Math.max(0, untilDecided), () -> read(Telling.NOBODY));
        } else {
            readIn(regular, this::readIfDue);
        }
    }

    private void take(TargetNews.Listed list, long revision, long confirmedAt) {
        mListed = true;
        mConfirmedAt = confirmedAt;
        mTargets.apply(revision, list.entries(), now()).forEach(this::onChange);
        mList = list;
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
                .with("list", mTargets.revision())
                .log();
    }

    // ---------------------------------------------------------------- other routers

    /** Tells the steps of a change; if one does not fit, or there is none, what was read. */
    private void tell(List<TargetNews> steps, TargetNews whole) {
        boolean few = steps.size() * (long) link().others() <= MAX_MESSAGES;
        if (few
                && !steps.isEmpty()
                && steps.stream().allMatch(s -> link().tell(new PeerMessage.Targets(s)))) {
            return;
        }
        link().tell(new PeerNotice(PeerNotice.Kind.LIST, whole.readAt(), whole.after()));
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
    void onNews(TargetNews news) {
        boolean nextStep = mStepsLeft > 0 && news.readAt() == mReadAt;
        if (isOutOfTurn(news.readAt()) && !nextStep) {
            return;
        }
        if (news.after() == mList.fingerprint()) {
            confirm(news.readAt());
            return;
        }
        TargetNews.Listed list = news.applyTo(mList);
        if (!news.isRight(list) || news.revision() < mTargets.revision()) {
            read(Telling.NOBODY);
            return;
        }
        mReadAt = news.readAt();
        mStepsLeft = news.more();
        take(list, news.revision(), inOwnTime(news.readAt()));
    }

    /** What is kept for a while after an outage is decided by reading anew. */
    private boolean isOutOfTurn(long readAt) {
        return readAt <= mReadAt || !mListed || mTargets.keepsMissing();
    }

    private void confirm(long readAt) {
        mReadAt = readAt;
        mConfirmedAt = inOwnTime(readAt);
    }

    private long inOwnTime(long readAt) {
        return Math.min(now(), readAt + mSourceOffset);
    }

    /** Takes another router's list while the store cannot be read. */
    void onSnapshot(long revision, List<TargetEntry> list) {
        if (list.isEmpty()) {
            return;
        }
        mListed = true;
        mTargets.apply(revision, list, now()).forEach(this::onChange);
    }
}
