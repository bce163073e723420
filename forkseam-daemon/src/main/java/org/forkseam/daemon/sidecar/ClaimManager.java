package org.forkseam.daemon.sidecar;

import org.forkseam.core.claim.ClaimProtocol;
import org.forkseam.core.claim.ClaimProtocol.AttemptState;
import org.forkseam.core.claim.ClaimProtocol.Step;
import org.forkseam.core.claim.ClaimRow;
import org.forkseam.core.util.BoundedMap;
import org.forkseam.platform.Row;
import org.forkseam.platform.TxnResult;

import java.util.Map;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;

/**
 * Claims unrepeatable requests for one sidecar, following {@link ClaimProtocol}. Not thread-safe;
 * used on the event loop.
 *
 * @since 0.1
 */
public final class ClaimManager {
    private static final int MAX_TRACKED_NONCES = 20_000;

    private final ClaimStore mStore;
    private final String mTarget;
    private final long mIncarnation;
    private final Map<String, AttemptState> mAttemptStates =
            BoundedMap.byInsertion(MAX_TRACKED_NONCES);

    /**
     * The result of an attempt to claim a request.
     *
     * @param step the final step of the attempt
     * @param nonce unique id of the attempt
     * @param revision revision of the claimed row, set for {@link Step#RUN}
     * @param lastRow the row as last read
     */
    public record Result(Step step, String nonce, long revision, Optional<ClaimRow> lastRow) {}

    private ClaimManager(ClaimStore store, String target, long incarnation) {
        mStore = store;
        mTarget = target;
        mIncarnation = incarnation;
    }

    /** Creates the claim manager of one incarnation of a target's sidecar. */
    public static ClaimManager of(ClaimStore store, String target, long incarnation) {
        return new ClaimManager(store, target, incarnation);
    }

    /** Attempts to claim a request; the returned future never completes exceptionally. */
    public CompletableFuture<Result> claim(String key, String fingerprint) {
        String nonce = UUID.randomUUID().toString();
        ClaimRow row =
                new ClaimRow(
                        ClaimRow.State.CLAIMED,
                        mTarget,
                        mIncarnation,
                        nonce,
                        fingerprint,
                        "",
                        now());
        mAttemptStates.put(nonce, AttemptState.ACTIVE);
        ClaimAttempt attempt =
                new ClaimAttempt(
                        key,
                        ClaimProtocol.of(
                                row, n -> mAttemptStates.getOrDefault(n, AttemptState.UNKNOWN)));
        attempt.perform(attempt.mProtocol.start());
        return attempt.mResult.whenComplete((r, e) -> markAbandonedUnlessRun(nonce, r));
    }

    private static long now() {
        return System.currentTimeMillis();
    }

    private void markAbandonedUnlessRun(String nonce, Result result) {
        if (result == null || result.step() != Step.RUN) {
            mAttemptStates.put(nonce, AttemptState.ABANDONED);
        }
    }

    /** Marks a claimed request that was never sent to the target as abandoned. */
    public CompletableFuture<Void> abandon(String key, Result claimed, String fingerprint) {
        mAttemptStates.put(claimed.nonce(), AttemptState.ABANDONED);
        ClaimRow row =
                new ClaimRow(
                        ClaimRow.State.ABANDONED,
                        mTarget,
                        mIncarnation,
                        claimed.nonce(),
                        fingerprint,
                        "",
                        now());
        return mStore.replace(key, row, claimed.revision()).thenApply(r -> null);
    }

    /** Marks a claimed request as done, and stores its response. */
    public CompletableFuture<TxnResult> markDone(
            String key, Result claimed, String fingerprint, String answer) {
        ClaimRow row =
                new ClaimRow(
                        ClaimRow.State.DONE,
                        mTarget,
                        mIncarnation,
                        claimed.nonce(),
                        fingerprint,
                        answer,
                        now());
        return mStore.replace(key, row, claimed.revision());
    }

    /** Executes the protocol steps of one attempt. */
    private final class ClaimAttempt {
        private final String mKey;
        private final ClaimProtocol mProtocol;
        private final CompletableFuture<Result> mResult = new CompletableFuture<>();
        private long mRevision;

        ClaimAttempt(String key, ClaimProtocol protocol) {
            mKey = key;
            mProtocol = protocol;
        }

        void perform(Step step) {
            switch (step) {
                case INSERT -> mStore.insert(mKey, mProtocol.row()).thenAccept(this::onWriteResult);
                case REPLACE ->
                        mStore.replace(mKey, mProtocol.row(), mRevision)
                                .thenAccept(this::onWriteResult);
                case READ -> mStore.read(mKey).whenComplete(this::onReadResult);
                default ->
                        mResult.complete(
                                new Result(
                                        step,
                                        mProtocol.row().nonce(),
                                        mRevision,
                                        mProtocol.observed()));
            }
        }

        private void onWriteResult(TxnResult result) {
            if (result instanceof TxnResult.Applied a) {
                mRevision = a.revision();
                perform(mProtocol.onApplied());
            } else if (result instanceof TxnResult.Conflict c) {
                Optional<ClaimStore.VersionedClaim> current =
                        c.rows().stream()
                                .filter((Row r) -> r.key().equals(mKey))
                                .findFirst()
                                .map(ClaimStore::parse);
                current.ifPresent(s -> mRevision = s.revision());
                perform(mProtocol.onConflict(current.map(ClaimStore.VersionedClaim::row)));
            } else {
                perform(mProtocol.onUnknown());
            }
        }

        private void onReadResult(Optional<ClaimStore.VersionedClaim> current, Throwable e) {
            if (e != null) {
                perform(mProtocol.onReadFailed());
                return;
            }
            current.ifPresent(s -> mRevision = s.revision());
            perform(mProtocol.onRead(current.map(ClaimStore.VersionedClaim::row)));
        }
    }
}
