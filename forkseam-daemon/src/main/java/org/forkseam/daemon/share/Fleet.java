package org.forkseam.daemon.share;

import org.forkseam.core.cfg.ConfigChange;
import org.forkseam.core.cfg.ConfigLog;
import org.forkseam.core.cfg.FleetConfig;
import org.forkseam.core.load.LoadDigest;
import org.forkseam.core.member.FleetView;
import org.forkseam.core.member.HostEntry;
import org.forkseam.core.route.PoolView;
import org.forkseam.core.route.TargetView;
import org.forkseam.wire.Codec;
import org.forkseam.wire.Link;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * A daemon's view of the fleet: hosts, configuration and target load. Not thread-safe: used on the
 * event loop only.
 *
 * @since 0.1
 */
public final class Fleet {
    private final FleetView mView = new FleetView();
    private final ConfigLog mLog = new ConfigLog();
    private final Map<Integer, TargetView> mTargetsByHash = new HashMap<>();
    private final List<Runnable> mListeners = new ArrayList<>();
    private long mConfigAtMillis;
    private long mHostsAtMillis;

    /** Adds a listener to run after the hosts or the configuration changed. */
    public void addListener(Runnable listener) {
        mListeners.add(listener);
    }

    /** Returns the current view of targets and pools. */
    public FleetView view() {
        return mView;
    }

    /** Returns the active configuration. */
    public FleetConfig config() {
        return mLog.current();
    }

    /** Returns the log of configuration changes. */
    public ConfigLog log() {
        return mLog;
    }

    /** Returns when the active configuration was received; 0 if never. */
    public long configAtMillis() {
        return mConfigAtMillis;
    }

    /** Returns when the host list was last read; 0 if never. */
    public long hostsAtMillis() {
        return mHostsAtMillis;
    }

    /** Updates the host list and notifies listeners. */
    public void onHosts(List<HostEntry> hosts, long nowMillis) {
        mHostsAtMillis = nowMillis;
        mView.onHosts(hosts);
        onChanged();
    }

    /** Applies consecutive changes; returns whether any was applied. */
    public boolean onChanges(List<ConfigChange> changes, long nowMillis) {
        return activate(mLog.apply(changes), nowMillis);
    }

    /** Applies a full configuration if it is newer; returns whether it was applied. */
    public boolean onSnapshot(FleetConfig config, long nowMillis) {
        return activate(mLog.applySnapshot(config), nowMillis);
    }

    private boolean activate(boolean applied, long nowMillis) {
        if (applied) {
            mConfigAtMillis = nowMillis;
            mView.onConfig(mLog.current());
            onChanged();
        }
        return applied;
    }

    private void onChanged() {
        mTargetsByHash.clear();
        mView.targets().forEach(t -> mTargetsByHash.put(Codec.targetHash(t.name()), t));
        mListeners.forEach(Runnable::run);
    }

    /**
     * Applies the digests received over a link and returns them, except those of unknown targets.
     */
    public List<LoadDigest> onDigests(
            Link link, List<org.forkseam.wire.proto.LoadDigest> digests, long nowMillis) {
        List<LoadDigest> out = new ArrayList<>(digests.size());
        for (org.forkseam.wire.proto.LoadDigest d : digests) {
            Optional<TargetView> t =
                    d.getTarget() == 0
                            ? mView.target(link.peer().getTarget())
                            : Optional.ofNullable(mTargetsByHash.get(d.getTarget()));
            t.ifPresent(v -> out.add(Codec.fromWire(d, v.name(), v.capacity(), nowMillis)));
        }
        out.forEach(mView::onDigest);
        return out;
    }

    /** Returns a state dump of hosts, configuration and targets. */
    public Map<String, Object> dump(long nowMillis) {
        Map<String, Object> out = new LinkedHashMap<>();
        out.put("config_version", config().version());
        out.put("config_hash", config().hash());
        out.put("config_age_ms", mConfigAtMillis == 0 ? -1 : nowMillis - mConfigAtMillis);
        out.put("hosts_age_ms", mHostsAtMillis == 0 ? -1 : nowMillis - mHostsAtMillis);
        out.put("hosts", mView.hosts().size());
        Map<String, Object> targets = new TreeMap<>();
        mView.targets().forEach(t -> targets.put(t.name(), describe(t, nowMillis)));
        out.put("targets", targets);
        Map<String, Object> pools = new TreeMap<>();
        mView.pools().forEach(p -> pools.put(p.spec().name(), describe(p, nowMillis)));
        out.put("pools", pools);
        return out;
    }

    private static Map<String, Object> describe(TargetView t, long now) {
        Map<String, Object> m = new LinkedHashMap<>();
        m.put("failure_domain", t.failureDomain());
        m.put("address", t.address());
        m.put("labels", t.labels().asMap());
        m.put("capacity", t.capacity());
        m.put("load", t.estimatedLoad(now));
        m.put("in_flight", t.inFlight());
        m.put("leaving", t.isLeaving(now));
        m.put("health", t.health().trafficShare(now));
        t.digest().ifPresent(d -> m.put("digest_age_ms", now - d.atMillis()));
        return m;
    }

    private static Map<String, Object> describe(PoolView p, long now) {
        Map<String, Object> m = new LinkedHashMap<>();
        m.put("selector", p.spec().selector().toString());
        m.put("prefer", p.spec().prefer().toString());
        m.put("max_load_multiple", p.spec().maxLoadMultiple());
        m.put("targets", p.targets().stream().map(TargetView::name).toList());
        m.put("total_load", p.totalLoad(now));
        return m;
    }
}
