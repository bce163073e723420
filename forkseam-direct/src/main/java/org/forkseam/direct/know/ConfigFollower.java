package org.forkseam.direct.know;

import org.forkseam.core.member.Evacuations;
import org.forkseam.core.share.StoreReaderRole;
import org.forkseam.core.store.StorePosition;
import org.forkseam.core.store.StoreTimestamp;
import org.forkseam.core.traffic.ConfigChange;
import org.forkseam.core.traffic.RoutingHistory;
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
 * Follows the operators' state: the configuration, whose version never decreases, and the evacuated
 * failure domains. One router long-polls for changes of both and broadcasts them. A router reads
 * the store itself if it missed a change or the change is too large for a datagram. Confined to the
 * event loop.
 */
final class ConfigFollower extends FollowerBase {
    /** Duration of a long poll; a lost one is repeated after it. */
    private static final long LONG_POLL_MILLIS = 1_000;

    /** The polling router broadcasts once a second; the margin covers a slow response. */
    private static final long READER_TIMEOUT_MILLIS = 1_150;

    /** Evacuated domains named in a log line. */
    private static final int MAX_LOGGED_DOMAINS = 20;

    private final FleetSource mSource;
    private final Listener mListener;
    private final Evacuations mEvacuations = Evacuations.create();
    private final StoreReaderRole mRole = StoreReaderRole.of(READER_TIMEOUT_MILLIS);
    private TrafficConfig mConfig = TrafficConfig.none();
    private final RoutingHistory mRouting = RoutingHistory.create();
    private StorePosition mPosition = StorePosition.NONE;
    private long mConfirmedAt;
    private StoreTimestamp mReadAt = StoreTimestamp.NEVER;
    private int mFailures;
    private boolean mReadInProgress;
    private Future<?> mSettleTask;

    /** Receives changes of the operators' state. */
    interface Listener {
        /** Called when a read of the store has failed. */
        void onStoreUnavailable();

        /** Called with all evacuated failure domains when they have changed. */
        void onEvacuated(Set<String> domains);
    }

    ConfigFollower(Context context, FleetSource source, Listener listener) {
        super(context);
        mSource = source;
        mListener = listener;
    }

    RoutingHistory routing() {
        return mRouting;
    }

    TrafficConfig config() {
        return mConfig;
    }

    Evacuations evacuations() {
        return mEvacuations;
    }

    /** Returns when the configuration was last confirmed to be the newest. */
    long confirmedAt() {
        return mConfirmedAt;
    }

    /** Applies a configuration from any source if it is newer. */
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
        mRouting.onConfig(c, now());
    }

    /** Replaces the evacuated domains unless the given ones are older. */
    void offerEvacuations(StorePosition position, Collection<String> domains, String origin) {
        if (mEvacuations.replace(position, domains, now())) {
            onEvacuationsChanged(origin);
        }
        scheduleSettle();
    }

    /**
     * Schedules the end of the period after a restore of the store in which earlier evacuations are
     * kept.
     */
    private void scheduleSettle() {
        if (mEvacuations.isReconciling(now()) && (mSettleTask == null || mSettleTask.isDone())) {
            mSettleTask = scheduleTimeout(mEvacuations.retainUntil() - now(), this::settle);
        }
    }

    private void settle() {
        if (mEvacuations.reconcile(now())) {
            onEvacuationsChanged("store, settled");
        }
        scheduleSettle(); // the store may have been restored again
    }

    private void onEvacuationsChanged(String origin) {
        mListener.onEvacuated(mEvacuations.domains());
        Event.always("evacuations")
                .with("domains", loggedDomains(mEvacuations.domains()))
                .with("count", mEvacuations.domains().size())
                .with("position", mEvacuations.position())
                .with("origin", origin)
                .log();
    }

    private static List<String> loggedDomains(Set<String> domains) {
        return domains.stream().limit(MAX_LOGGED_DOMAINS).toList();
    }

    // ---------------------------------------------------------------- store

    void start() {
        if (!isStopped()) {
            mSource.readOperatorState().whenComplete((read, e) -> onRead(read, e, this::applyAll));
        }
    }

    /** Long-polls for changes unless another router does so and broadcasts them. */
    private void follow() {
        if (isStopped()) {
            return;
        }
        long standby = mRole.standbyMillis(now());
        if (standby > 0) {
            scheduleTimeout(standby + jitterMillis(), this::follow);
            return;
        }
        StorePosition since = mPosition;
        mSource.awaitOperatorState(since, LONG_POLL_MILLIS)
                .whenComplete((read, e) -> onLongPoll(read, e, since));
    }

    /** Revisions of different eras are not comparable, so a change of era requires a full read. */
    private void onLongPoll(Versioned<OperatorState> read, Throwable failure, StorePosition since) {
        if (failure == null && !read.position().isSameEraAs(since)) {
            storeHealth().onSuccess();
            reread();
            return;
        }
        onRead(read, failure, this::applyChanges);
    }

    private void reread() {
        rereadUnlessUpdated(() -> mPosition, this::follow, this::start);
    }

    private void onRead(
            Versioned<OperatorState> read,
            Throwable failure,
            Consumer<Versioned<OperatorState>> apply) {
        if (failure != null) {
            onFailure(failure);
            return;
        }
        storeHealth().onSuccess();
        mFailures = 0;
        mPosition = StorePosition.newer(mPosition, read.position());
        mConfirmedAt = now();
        TrafficConfig before = mConfig;
        apply.accept(read);
        mReadAt = read.readTime().isAfter(mReadAt) ? read.readTime() : mReadAt;
        broadcastChange(before);
        broadcastRead(read);
        follow();
    }

    /** Broadcasts the change of the configuration unless it is too large for a datagram. */
    private void broadcastChange(TrafficConfig before) {
        if (mConfig != before && before.isKnown()) {
            ConfigChange.between(before, mConfig)
                    .ifPresent(c -> peers().broadcast(new PeerMessage.Config(c)));
        }
    }

    private void applyAll(Versioned<OperatorState> read) {
        read.value().config().ifPresent(c -> offer(c, "store"));
        offerEvacuations(read.position(), read.value().evacuated(), "store");
    }

    private void applyChanges(Versioned<OperatorState> read) {
        OperatorState s = read.value();
        s.config().ifPresent(c -> offer(c, "store"));
        if (mEvacuations.applyChanges(read.position(), s.evacuated(), s.restored(), now())) {
            onEvacuationsChanged("store");
        }
    }

    private void broadcastRead(Versioned<OperatorState> read) {
        PeerMessage.Operators m =
                new PeerMessage.Operators(
                        read.readAt(),
                        read.position(),
                        mConfig.version(),
                        mEvacuations.fingerprint(),
                        List.copyOf(mEvacuations.reported()));
        boolean newer = mEvacuations.position().isAfter(read.position()); // received from a peer
        if (newer || !peers().broadcast(m)) {
            peers().broadcast(m.withoutDomains());
        }
    }

    private void onFailure(Throwable failure) {
        if (SourceException.isHistoryCompacted(failure)) {
            storeHealth().onSuccess();
            reread();
            return;
        }
        storeHealth().onFailure(failure);
        mListener.onStoreUnavailable();
        boolean known = mPosition.isAfter(StorePosition.NONE);
        schedule(backoffMillis(++mFailures), known ? this::follow : this::start);
    }

    // ---------------------------------------------------------------- other routers

    /** Applies another router's change of the configuration. */
    void onConfigChange(ConfigChange change) {
        mConfig.with(change).ifPresent(c -> offer(c, "peer, changes only"));
    }

    /**
     * Accepts another router's read in place of an own one if it is newer and consistent with the
     * local state.
     */
    void onMessage(PeerMessage.Operators m, InetSocketAddress sender) {
        if (m.isComplete()) {
            offerEvacuations(m.position(), m.evacuated(), "peer");
        }
        if (storeHealth().isDown()) {
            return; // the read after the outage resolves what was kept
        }
        boolean missesDomains =
                !m.position().isBefore(mEvacuations.position())
                        && m.fingerprint() != mEvacuations.fingerprint();
        if (m.version() > mConfig.version() || missesDomains) {
            readImmediately();
            return;
        }
        if (!m.readTime().isAfter(mReadAt) || m.version() < mConfig.version()) {
            return;
        }
        mReadAt = m.readTime();
        if (m.isComplete()) {
            mPosition = StorePosition.newer(mPosition, m.position());
        }
        mConfirmedAt = now();
        if (peers().isPrecededBy(sender)) {
            mRole.onReaderHeard(mConfirmedAt);
        }
    }

    /**
     * Reads independently of the polling loop. Only one read at a time: several large responses at
     * once would saturate a slow link and all time out.
     */
    private void readImmediately() {
        if (mReadInProgress) {
            return;
        }
        mReadInProgress = true;
        mSource.readOperatorState()
                .whenComplete(
                        (read, failure) -> {
                            mReadInProgress = false;
                            if (failure == null) {
                                applyAll(read);
                            } else {
                                storeHealth().onFailure(failure);
                            }
                        });
    }
}
