package org.forkseam.direct.know;

import org.forkseam.core.member.Evacuations;
import org.forkseam.core.share.StoreReaderRole;
import org.forkseam.core.store.StorePosition;
import org.forkseam.core.store.StoreTime;
import org.forkseam.core.traffic.ConfigChange;
import org.forkseam.core.traffic.TrafficConfig;
import org.forkseam.direct.log.Event;
import org.forkseam.direct.spi.FleetSource;
import org.forkseam.direct.spi.OperatorState;
import org.forkseam.direct.spi.SourceException;
import org.forkseam.direct.spi.Versioned;

import java.net.InetSocketAddress;
import java.util.Collection;
import java.util.List;
import java.util.Set;
import java.util.concurrent.Future;
import java.util.function.Consumer;

/**
 * Follows what operators write: the configuration, of which it never goes back to an older one, and
 * the failure domains that are evacuated. One router waits for changes of both in one call and
 * tells the others what it finds: evacuations by name, of a new configuration what has changed; who
 * has missed that, or if it is much, reads the configuration itself. Used on the event loop.
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

    /** Evacuated domains that a log line names; there are as many as operators write. */
    private static final int MAX_LOGGED = 20;

    private final FleetSource mSource;
    private final Listener mListener;
    private final Evacuations mEvacuations = Evacuations.create();
    private final StoreReaderRole mRole = StoreReaderRole.of(HEARD_MILLIS);
    private TrafficConfig mConfig = TrafficConfig.none();
    private StorePosition mPosition = StorePosition.NONE;
    private long mConfirmedAt;
    private StoreTime mReadAt = StoreTime.NEVER;
    private int mFailures;
    private boolean mReadingNow;
    private Future<?> mSettling;

    /** Is told of what is learned here. */
    interface Listener {
        /** Is called when the store gives no answer. */
        void onIgnorant();

        /** Is called with all evacuated failure domains when they have changed. */
        void onEvacuated(Set<String> domains);
    }

    /** Creates a follower that knows nothing yet. */
    ConfigFollower(Surroundings around, FleetSource source, Listener listener) {
        super(around);
        mSource = source;
        mListener = listener;
    }

    TrafficConfig config() {
        return mConfig;
    }

    /** Returns the evacuated failure domains. */
    Evacuations evacuations() {
        return mEvacuations;
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

    /** Takes all evacuated domains in, from whatever source, if they are not older. */
    void offerEvacuations(StorePosition position, Collection<String> domains, String origin) {
        if (mEvacuations.replace(position, domains, now())) {
            onEvacuationsChanged(origin);
        }
        planSettling();
    }

    /** Plans to take the store's word alone again, a while after it has come back. */
    private void planSettling() {
        if (mEvacuations.isOpen(now()) && (mSettling == null || mSettling.isDone())) {
            mSettling = later(mEvacuations.heldUntil() - now(), this::settle);
        }
    }

    private void settle() {
        if (mEvacuations.settle(now())) {
            onEvacuationsChanged("store, settled");
        }
        planSettling(); // the store may have come back once more
    }

    private void onEvacuationsChanged(String origin) {
        mListener.onEvacuated(mEvacuations.domains());
        Event.always("evacuations")
                .with("domains", first(mEvacuations.domains()))
                .with("count", mEvacuations.domains().size())
                .with("position", mEvacuations.position())
                .with("origin", origin)
                .log();
    }

    private static List<String> first(Set<String> domains) {
        return domains.stream().limit(MAX_LOGGED).toList();
    }

    // ---------------------------------------------------------------- the store

    void start() {
        if (!isStopped()) {
            mSource.readOperators().whenComplete((read, e) -> onRead(read, e, this::takeAll));
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
        long quiet = mRole.standbyMillis(now());
        if (quiet > 0) {
            later(quiet + spread(), this::follow);
            return;
        }
        StorePosition since = mPosition;
        mSource.awaitOperators(since, WAIT_MILLIS)
                .whenComplete((read, e) -> onWaited(read, e, since));
    }

    /** Revisions of another era count other changes: those before the one asked for are missing. */
    private void onWaited(Versioned<OperatorState> read, Throwable failure, StorePosition since) {
        if (failure == null && !read.position().isOfEraOf(since)) {
            watch().onAnswer();
            readAnew();
            return;
        }
        onRead(read, failure, this::takeChanges);
    }

    private void readAnew() {
        rereadUnlessTold(() -> mPosition, this::follow, this::start);
    }

    private void onRead(
            Versioned<OperatorState> read,
            Throwable failure,
            Consumer<Versioned<OperatorState>> take) {
        if (failure != null) {
            onFailure(failure);
            return;
        }
        watch().onAnswer();
        mFailures = 0;
        mPosition = StorePosition.newer(mPosition, read.position());
        mConfirmedAt = now();
        TrafficConfig before = mConfig;
        take.accept(read);
        mReadAt = read.readTime().isAfter(mReadAt) ? read.readTime() : mReadAt;
        tellChange(before);
        tell(read);
        follow();
    }

    /** Tells what changed in the configuration, unless it is too much for a message. */
    private void tellChange(TrafficConfig before) {
        if (mConfig != before && before.isKnown()) {
            ConfigChange.between(before, mConfig)
                    .ifPresent(c -> link().tell(new PeerMessage.Config(c)));
        }
    }

    private void takeAll(Versioned<OperatorState> read) {
        read.value().config().ifPresent(c -> offer(c, "store"));
        offerEvacuations(read.position(), read.value().evacuated(), "store");
    }

    private void takeChanges(Versioned<OperatorState> read) {
        OperatorState s = read.value();
        s.config().ifPresent(c -> offer(c, "store"));
        if (mEvacuations.change(read.position(), s.evacuated(), s.returned(), now())) {
            onEvacuationsChanged("store");
        }
    }

    private void tell(Versioned<OperatorState> read) {
        PeerMessage.Operators m =
                new PeerMessage.Operators(
                        read.readAt(),
                        read.position(),
                        mConfig.version(),
                        mEvacuations.fingerprint(),
                        List.copyOf(mEvacuations.told()));
        boolean newer = mEvacuations.position().isAfter(read.position()); // told by another
        if (newer || !link().tell(m)) {
            link().tell(m.withoutDomains());
        }
    }

    private void onFailure(Throwable failure) {
        if (SourceException.isHistoryGone(failure)) {
            watch().onAnswer();
            readAnew();
            return;
        }
        watch().onNoAnswer(failure);
        mListener.onIgnorant();
        boolean known = mPosition.isAfter(StorePosition.NONE);
        later(pauseAfter(++mFailures), known ? this::follow : this::start);
    }

    // ---------------------------------------------------------------- other routers

    /** Takes in what another router has found changed in the configuration. */
    void onChange(ConfigChange change) {
        mConfig.with(change).ifPresent(c -> offer(c, "peer, changes only"));
    }

    /** Takes another router's reading in place of an own one, if it is newer and the same. */
    void onMessage(PeerMessage.Operators m, InetSocketAddress sender) {
        if (m.isWhole()) {
            offerEvacuations(m.position(), m.evacuated(), "peer");
        }
        if (watch().isDown()) {
            return; // it cannot be read, and what is kept is decided by reading anew
        }
        boolean missesDomains =
                !m.position().isBefore(mEvacuations.position())
                        && m.fingerprint() != mEvacuations.fingerprint();
        if (m.version() > mConfig.version() || missesDomains) {
            readNow();
            return;
        }
        if (!m.readTime().isAfter(mReadAt) || m.version() < mConfig.version()) {
            return;
        }
        mReadAt = m.readTime();
        if (m.isWhole()) {
            mPosition = StorePosition.newer(mPosition, m.position());
        }
        mConfirmedAt = now();
        if (link().goesBefore(sender)) {
            mRole.onReaderHeard(mConfirmedAt);
        }
    }

    /**
     * Reads beside the loop that follows the operators, whatever that is waiting for. One read at a
     * time: several large ones at once would fill a narrow link and none would be in time.
     */
    private void readNow() {
        if (mReadingNow) {
            return;
        }
        mReadingNow = true;
        mSource.readOperators()
                .whenComplete(
                        (read, failure) -> {
                            mReadingNow = false;
                            if (failure == null) {
                                takeAll(read);
                            } else {
                                watch().onNoAnswer(failure);
                            }
                        });
    }
}
