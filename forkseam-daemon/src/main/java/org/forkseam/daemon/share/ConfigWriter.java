package org.forkseam.daemon.share;

import org.forkseam.core.cfg.ConfigChange;
import org.forkseam.core.cfg.ConfigLog;
import org.forkseam.core.cfg.Finding;
import org.forkseam.core.cfg.FleetConfig;
import org.forkseam.core.cfg.PoolSpec;
import org.forkseam.core.util.Clock;
import org.forkseam.platform.TxnResult;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

/**
 * Validates operators' configuration changes and commits them by compare-and-set on the head row.
 *
 * <p>Of concurrent changes one is accepted; the others get a conflict that lists it. After a lost
 * reply, the outcome is determined by the change id. Not thread-safe: used on the event loop only.
 *
 * @since 0.1
 */
public final class ConfigWriter {
    private final Fleet mFleet;
    private final FleetSync mSync;
    private final ConfigStore mStore;
    private final Clock mClock;

    /**
     * A configuration change requested by an operator.
     *
     * @param base version that the change is based on; empty for the latest
     * @param changeId idempotency key chosen by the operator's client
     * @param author author of the change
     * @param note reason for the change
     * @param set sections to add or replace
     * @param removed sections to remove
     * @param dryRun whether to only validate the change
     */
    public record Request(
            OptionalLong base,
            String changeId,
            String author,
            String note,
            Map<String, Map<String, String>> set,
            Set<String> removed,
            boolean dryRun) {}

    /** Outcome of a change. */
    public sealed interface Result {
        /** The change was committed, or is valid in case of a dry run. */
        record Accepted(long version, List<Finding> findings) implements Result {}

        /** The change is invalid; nothing was written. */
        record Invalid(List<Finding> findings) implements Result {}

        /** The configuration has changed since the base version; nothing was written. */
        record Conflict(long latest, List<ConfigChange> others) implements Result {}

        /**
         * The table service did not respond; the request can be retried with the same change id.
         */
        record Unknown(String why) implements Result {}
    }

    private ConfigWriter(Fleet fleet, FleetSync sync, ConfigStore store, Clock clock) {
        mFleet = fleet;
        mSync = sync;
        mStore = store;
        mClock = clock;
    }

    /** Creates a configuration writer. */
    public static ConfigWriter of(Fleet fleet, FleetSync sync, ConfigStore store, Clock clock) {
        return new ConfigWriter(fleet, sync, store, clock);
    }

    /** Validates and commits a change. */
    public CompletableFuture<Result> apply(Request request) {
        return mSync.catchUp()
                .thenCompose(head -> apply(request, head))
                .exceptionally(e -> new Result.Unknown("not written: " + e));
    }

    /** Reconstructs an earlier version from the changes in the table service. */
    public CompletableFuture<Optional<FleetConfig>> versionAt(long version) {
        return mStore.changesAfter(FleetConfig.empty(), version)
                .thenApply(
                        changes -> {
                            ConfigLog log = new ConfigLog();
                            log.apply(
                                    changes.stream().filter(c -> c.version() <= version).toList());
                            FleetConfig c = log.current();
                            return c.version() == version ? Optional.of(c) : Optional.empty();
                        });
    }

    private CompletableFuture<Result> apply(Request request, ConfigStore.Head head) {
        FleetConfig now = mFleet.config();
        Optional<ConfigChange> earlier = findChange(request.changeId());
        if (earlier.isPresent()) {
            return completed(new Result.Accepted(earlier.get().version(), now.findings()));
        }
        if (now.version() != head.version()) {
            return completed(
                    new Result.Unknown(
                            "not written: cannot catch up with version " + head.version()));
        }
        long base = request.base().orElse(head.version());
        if (base != head.version()) {
            return completed(new Result.Conflict(head.version(), changesAfter(base)));
        }
        ConfigChange change =
                ConfigChange.of(
                        now,
                        request.changeId(),
                        request.author(),
                        mClock.nowMillis(),
                        request.note(),
                        request.set(),
                        request.removed());
        List<Finding> findings = validate(now.with(change).orElseThrow());
        if (findings.stream().anyMatch(Finding::error)) {
            return completed(new Result.Invalid(findings));
        }
        if (request.dryRun()) {
            return completed(new Result.Accepted(change.version(), findings));
        }
        return mStore.write(head, change).thenCompose(r -> onWritten(r, request, change, findings));
    }

    private CompletableFuture<Result> onWritten(
            TxnResult result, Request request, ConfigChange change, List<Finding> findings) {
        if (result instanceof TxnResult.Applied) {
            return completed(accepted(change, findings));
        }
        return mSync.catchUp()
                .handle(
                        (head, e) -> {
                            if (e != null) {
                                return new Result.Unknown("write outcome unknown: " + e);
                            }
                            if (findChange(request.changeId()).isPresent()) {
                                return new Result.Accepted(change.version(), findings);
                            }
                            if (result instanceof TxnResult.Conflict) {
                                return new Result.Conflict(
                                        head.version(), changesAfter(change.version() - 1));
                            }
                            return new Result.Unknown("write outcome unknown: " + result);
                        });
    }

    private Result accepted(ConfigChange change, List<Finding> findings) {
        mSync.onAccepted(change);
        FleetConfig config = mFleet.config();
        if (config.version() % ConfigStore.SNAPSHOT_INTERVAL_VERSIONS == 0) {
            mStore.writeSnapshot(config);
        }
        return new Result.Accepted(change.version(), findings);
    }

    /** Adds an error for each pool whose selector matches no known target. */
    private List<Finding> validate(FleetConfig next) {
        List<Finding> out = new ArrayList<>(next.findings());
        if (mFleet.view().targets().isEmpty()) {
            return out;
        }
        for (PoolSpec p : next.pools()) {
            boolean any =
                    mFleet.view().targets().stream()
                            .anyMatch(
                                    t ->
                                            p.selector()
                                                    .matches(
                                                            t.labels()
                                                                    .withAll(
                                                                            next.targetLabels(
                                                                                    t.name()))));
            if (!any) {
                out.add(
                        new Finding(
                                "pool " + p.name(),
                                "selector",
                                p.selector().toString(),
                                "a selector that matches at least one of the "
                                        + mFleet.view().targets().size()
                                        + " targets",
                                true));
            }
        }
        return out;
    }

    private Optional<ConfigChange> findChange(String changeId) {
        return mFleet.log().history().stream()
                .filter(c -> c.changeId().equals(changeId))
                .findFirst();
    }

    private List<ConfigChange> changesAfter(long version) {
        return mFleet.log().history().stream().filter(c -> c.version() > version).toList();
    }

    private static CompletableFuture<Result> completed(Result result) {
        return CompletableFuture.completedFuture(result);
    }
}
