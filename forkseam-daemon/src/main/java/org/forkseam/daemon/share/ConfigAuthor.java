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
 * Accepts operators' changes: checks them whole, then moves the head row by compare-and-set.
 *
 * <p>Of operators who race one another, one is accepted and the others are shown its change. A lost
 * answer is settled by the change id in the head row. Used on the event loop.
 *
 * @since 0.1
 */
public final class ConfigAuthor {
    private final Fleet mFleet;
    private final FleetSync mSync;
    private final ConfigStore mStore;
    private final Clock mClock;

    /**
     * Holds a change as an operator asks for it.
     *
     * @param base the version the operator read; empty to follow whatever is the latest
     * @param changeId chosen by the operator's client
     * @param author who asks
     * @param note why
     * @param set sections to write whole
     * @param removed sections to take away
     * @param dryRun whether only to check
     */
    public record Request(
            OptionalLong base,
            String changeId,
            String author,
            String note,
            Map<String, Map<String, String>> set,
            Set<String> removed,
            boolean dryRun) {}

    /** Is what became of a change. */
    public sealed interface Result {
        /** The change is accepted, or with a dry run would be. */
        record Accepted(long version, List<Finding> findings) implements Result {}

        /** The change is faulty; nothing was changed. */
        record Invalid(List<Finding> findings) implements Result {}

        /** Others changed the configuration meanwhile; nothing was changed. */
        record Conflict(long latest, List<ConfigChange> others) implements Result {}

        /**
         * The table service gave no answer; with the same change id the request can be repeated.
         */
        record Unknown(String why) implements Result {}
    }

    private ConfigAuthor(Fleet fleet, FleetSync sync, ConfigStore store, Clock clock) {
        mFleet = fleet;
        mSync = sync;
        mStore = store;
        mClock = clock;
    }

    /** Creates the author's side of one daemon. */
    public static ConfigAuthor of(Fleet fleet, FleetSync sync, ConfigStore store, Clock clock) {
        return new ConfigAuthor(fleet, sync, store, clock);
    }

    /** Checks and writes a change. */
    public CompletableFuture<Result> apply(Request request) {
        return mSync.catchUp()
                .thenCompose(head -> apply(request, head))
                .exceptionally(e -> new Result.Unknown("not written: " + e));
    }

    /** Returns an earlier version, rebuilt from the changes in the table service. */
    public CompletableFuture<Optional<FleetConfig>> at(long version) {
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
        Optional<ConfigChange> earlier = find(request.changeId());
        if (earlier.isPresent()) {
            return done(new Result.Accepted(earlier.get().version(), now.findings()));
        }
        if (now.version() != head.version()) {
            return done(new Result.Unknown("not written: cannot catch up with " + head.version()));
        }
        long base = request.base().orElse(head.version());
        if (base != head.version()) {
            return done(new Result.Conflict(head.version(), after(base)));
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
        List<Finding> findings = check(now.with(change).orElseThrow());
        if (findings.stream().anyMatch(Finding::error)) {
            return done(new Result.Invalid(findings));
        }
        if (request.dryRun()) {
            return done(new Result.Accepted(change.version(), findings));
        }
        return mStore.write(head, change).thenCompose(r -> onWritten(r, request, change, findings));
    }

    private CompletableFuture<Result> onWritten(
            TxnResult result, Request request, ConfigChange change, List<Finding> findings) {
        if (result instanceof TxnResult.Applied) {
            return done(accepted(change, findings));
        }
        return mSync.catchUp()
                .handle(
                        (head, e) -> {
                            if (e != null) {
                                return new Result.Unknown("written or not: " + e);
                            }
                            if (find(request.changeId()).isPresent()) {
                                return new Result.Accepted(change.version(), findings);
                            }
                            if (result instanceof TxnResult.Conflict) {
                                return new Result.Conflict(
                                        head.version(), after(change.version() - 1));
                            }
                            return new Result.Unknown("written or not: " + result);
                        });
    }

    private Result accepted(ConfigChange change, List<Finding> findings) {
        mSync.onAccepted(change);
        FleetConfig config = mFleet.config();
        if (config.version() % ConfigStore.SNAPSHOT_EVERY == 0) {
            mStore.writeSnapshot(config);
        }
        return new Result.Accepted(change.version(), findings);
    }

    /** Adds to the reader's findings those that need to know which targets there are. */
    private List<Finding> check(FleetConfig next) {
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
                                "a selector that finds at least one of the "
                                        + mFleet.view().targets().size()
                                        + " targets",
                                true));
            }
        }
        return out;
    }

    private Optional<ConfigChange> find(String changeId) {
        return mFleet.log().history().stream()
                .filter(c -> c.changeId().equals(changeId))
                .findFirst();
    }

    private List<ConfigChange> after(long version) {
        return mFleet.log().history().stream().filter(c -> c.version() > version).toList();
    }

    private static CompletableFuture<Result> done(Result result) {
        return CompletableFuture.completedFuture(result);
    }
}
