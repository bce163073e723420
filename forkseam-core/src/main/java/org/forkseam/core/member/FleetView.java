package org.forkseam.core.member;

import org.forkseam.core.cfg.FleetConfig;
import org.forkseam.core.cfg.PoolSpec;
import org.forkseam.core.label.Labels;
import org.forkseam.core.load.LoadDigest;
import org.forkseam.core.route.PoolView;
import org.forkseam.core.route.TargetView;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Combines the platform's host list, which may lag, with the declared configuration into pools of
 * targets.
 *
 * <p>A target that is removed from the list loses its view; one that remains keeps its observed
 * state. Not thread-safe; confined to the event loop.
 *
 * @since 0.1
 */
public final class FleetView {
    private static final int DEFAULT_CAPACITY = 8;

    private final Map<String, TargetView> mTargets = new TreeMap<>();
    private final Map<String, PoolView> mPools = new HashMap<>();
    private List<HostEntry> mHosts = List.of();
    private FleetConfig mConfig = FleetConfig.empty();
    private int mRouterCount;

    /** Applies a new host list. */
    public void onHosts(List<HostEntry> hosts) {
        if (hosts.equals(mHosts)) {
            return;
        }
        mHosts = List.copyOf(hosts);
        rebuild();
    }

    /** Applies a new configuration. */
    public void onConfig(FleetConfig config) {
        mConfig = config;
        rebuild();
    }

    /** Applies a load digest. Digests of unknown targets and outdated ones are dropped. */
    public void onDigest(LoadDigest digest) {
        target(digest.target()).ifPresent(t -> t.onDigest(digest));
    }

    // ---------------------------------------------------------------- accessors

    /** Returns the current configuration. */
    public FleetConfig config() {
        return mConfig;
    }

    /** Returns the current host list. */
    public List<HostEntry> hosts() {
        return mHosts;
    }

    /** Returns the number of listed routers that are not leaving. */
    public int routerCount() {
        return mRouterCount;
    }

    /** Returns a pool by name. */
    public Optional<PoolView> pool(String name) {
        return Optional.ofNullable(mPools.get(name));
    }

    /** Returns all pools. */
    public Collection<PoolView> pools() {
        return Collections.unmodifiableCollection(mPools.values());
    }

    /** Returns a target by name. */
    public Optional<TargetView> target(String name) {
        return Optional.ofNullable(mTargets.get(name));
    }

    /** Returns all targets. */
    public Collection<TargetView> targets() {
        return Collections.unmodifiableCollection(mTargets.values());
    }

    /** Returns the pools that a target belongs to. */
    public List<PoolView> poolsOf(String target) {
        List<PoolView> out = new ArrayList<>();
        for (PoolView p : mPools.values()) {
            if (p.target(target).isPresent()) {
                out.add(p);
            }
        }
        return out;
    }

    // ---------------------------------------------------------------- internals

    private void rebuild() {
        Map<String, TargetView> previousTargets = new HashMap<>(mTargets);
        mTargets.clear();
        mRouterCount = 0;
        for (HostEntry h : mHosts) {
            if (h.isRouter() && !h.leaving()) {
                mRouterCount++;
            }
            if (h.isTarget()) {
                TargetView t =
                        view(
                                h,
                                previousTargets.get(
                                        h.labels().get(HostEntry.TARGET).orElseThrow()));
                mTargets.put(t.name(), t);
            }
        }
        mPools.keySet().removeIf(name -> mConfig.pool(name).isEmpty());
        for (PoolSpec spec : mConfig.pools()) {
            List<TargetView> members = new ArrayList<>();
            for (TargetView t : mTargets.values()) {
                if (spec.selector().matches(t.labels())) {
                    members.add(t);
                }
            }
            PoolView previousPool = mPools.get(spec.name());
            mPools.put(
                    spec.name(),
                    previousPool == null
                            ? PoolView.of(spec, members)
                            : previousPool.with(spec, members));
        }
    }

    private TargetView view(HostEntry h, TargetView previous) {
        String name = h.labels().get(HostEntry.TARGET).orElseThrow();
        String domain = h.labels().get(HostEntry.FAILURE_DOMAIN).orElse("");
        Labels labels = h.labels().withAll(mConfig.targetLabels(name)).with("host", h.host());
        int capacity = capacity(h);
        TargetView t;
        if (previous == null || !previous.address().equals(h.address())) {
            t = TargetView.of(name, domain, h.address(), labels, capacity);
        } else {
            t = previous;
            t.update(domain, labels, capacity);
        }
        t.setLeaving(h.leaving() || mConfig.isDrained(name));
        return t;
    }

    private static int capacity(HostEntry h) {
        String text = h.labels().get(HostEntry.CAPACITY).orElse("");
        return text.matches("[1-9][0-9]{0,5}") ? Integer.parseInt(text) : DEFAULT_CAPACITY;
    }
}
