package org.forkseam.direct.know;

import org.forkseam.core.share.ReaderRole;
import org.forkseam.core.traffic.TrafficConfig;
import org.forkseam.direct.log.Event;
import org.forkseam.direct.spi.FleetSource;
import org.forkseam.direct.spi.SourceException;
import org.forkseam.direct.spi.Versioned;

import java.net.InetSocketAddress;
import java.util.Optional;

/**
 * Follows the operators' configuration, and never goes back to an older one. One router waits for
 * changes and tells the others, which read at once. Used on the event loop.
 */
final class ConfigFollower extends FollowerBase {
    /**
     * A wait for a new configuration is begun anew after so long, so that a lost one is noticed.
     */
    private static final long WAIT_MILLIS = 1_000;

    /**
     * Another router that waits for configurations is heard each second; this allows for one loss.
     */
    private static final long HEARD_MILLIS = 1_150;

    private final FleetSource mSource;
    private final Runnable mOnIgnorant;
    private final ReaderRole mRole = ReaderRole.of(HEARD_MILLIS);
    private final Backoff mBackoff = new Backoff();
    private TrafficConfig mConfig = TrafficConfig.none();
    private long mRevision;
    private long mConfirmedAt;
    private long mReadAt = Long.MIN_VALUE;
    private boolean mReadingNow;

    /**
     * Creates a follower that knows nothing yet.
     *
     * @param onIgnorant is run when the store gives no answer
     */
    ConfigFollower(Surroundings around, FleetSource source, Runnable onIgnorant) {
        super(around);
        mSource = source;
        mOnIgnorant = onIgnorant;
    }

    TrafficConfig config() {
        return mConfig;
    }

    /** Returns when the configuration was last known to be the newest. */
    long confirmedAt() {
        return mConfirmedAt;
    }

    /** Takes a configuration in, from whatever source, if it is newer. */
    void offer(TrafficConfig c, String origin) {
        if (c.version() <= mConfig.version()) {
            return;
        }
        Event.always("config_in_force")
                .with("version", c.version())
                .with("before", mConfig.version())
                .with("routes", c.routeCount())
                .with("origin", origin)
                .log();
        mConfig = c;
    }

    // ---------------------------------------------------------------- the store

    void start() {
        if (!isStopped()) {
            mSource.readConfig().whenComplete(this::onConfig);
        }
    }

    /**
     * Waits for a newer configuration, unless another router does and tells what it hears: then
     * this one only looks whether the other is still heard.
     */
    private void follow() {
        if (isStopped()) {
            return;
        }
        long quiet = mRole.quietMillis(now());
        if (quiet > 0) {
            later(quiet + spread(), this::follow);
            return;
        }
        mSource.awaitConfig(mRevision, WAIT_MILLIS).whenComplete(this::onConfig);
    }

    private void onConfig(Versioned<Optional<TrafficConfig>> read, Throwable failure) {
        if (failure != null) {
            onFailure(failure);
            return;
        }
        watch().onAnswer();
        mBackoff.reset();
        mRevision = Math.max(mRevision, read.revision());
        mConfirmedAt = now();
        read.value().ifPresent(c -> offer(c, "store"));
        mReadAt = Math.max(mReadAt, read.readAt());
        link().tell(new PeerNotice(PeerNotice.Kind.CONFIG, read.readAt(), mConfig.version()));
        follow();
    }

    private void onFailure(Throwable failure) {
        boolean historyGone = failure instanceof SourceException s && s.isHistoryGone();
        if (!historyGone) {
            watch().onNoAnswer(failure);
            mOnIgnorant.run();
        }
        later(mBackoff.next(random()), this::start);
    }

    // ---------------------------------------------------------------- other routers

    /** Takes another router's reading in place of an own one, if it is newer and the same. */
    void onNotice(PeerNotice n, InetSocketAddress sender) {
        if (n.fingerprint() > mConfig.version()) {
            readNow();
            return;
        }
        if (n.readAt() <= mReadAt || n.fingerprint() < mConfig.version()) {
            return;
        }
        mReadAt = n.readAt();
        mConfirmedAt = now();
        if (link().goesBefore(sender)) {
            mRole.onHeard(mConfirmedAt);
        }
    }

    /**
     * Reads beside the loop that follows the configuration, whatever that is waiting for. One read
     * at a time: several large ones at once would fill a narrow link and none would be in time.
     */
    private void readNow() {
        if (mReadingNow) {
            return;
        }
        mReadingNow = true;
        mSource.readConfig()
                .whenComplete(
                        (read, failure) -> {
                            mReadingNow = false;
                            if (failure == null) {
                                read.value().ifPresent(c -> offer(c, "store, told by a peer"));
                            } else {
                                watch().onNoAnswer(failure);
                            }
                        });
    }
}
