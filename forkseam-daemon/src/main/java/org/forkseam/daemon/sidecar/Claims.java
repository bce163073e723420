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
 * Claims unrepeatable requests for one sidecar, by the steps of {@link ClaimProtocol}. Used on the
 * event loop.
 *
 * @since 0.1
 */
public final class Claims {
    private static final int NONCES_KEPT = 20_000;

    private final ClaimStore mStore;
    private final String mTarget;
    private final long mIncarnation;
    private final Map<String, AttemptState> mOwn = BoundedMap.byInsertion(NONCES_KEPT);

    /**
     * Is how a try to claim ended.
     *
     * @param step one of the steps that end a try
     * @param nonce of this try
     * @param revision of the claimed row, for RUN
     * @param seen the row seen last
     */
    public record Result(Step step, String nonce, long revision, Optional<ClaimRow> seen) {}

    private Claims(ClaimStore store, String target, long incarnation) {
        mStore = store;
        mTarget = target;
        mIncarnation = incarnation;
    }

    /** Creates the claims of one incarnation of a target's sidecar. */
    public static Claims of(ClaimStore store, String target, long incarnation) {
        return new Claims(store, target, incarnation);
    }

    /** Tries to claim a request; the future never fails. */
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
        mOwn.put(nonce, AttemptState.ACTIVE);
        Try t =
                new Try(
                        key,
                        ClaimProtocol.of(row, n -> mOwn.getOrDefault(n, AttemptState.UNKNOWN)));
        t.perform(t.mProtocol.start());
        return t.mDone.whenComplete((r, e) -> settle(nonce, r));
    }

    private static long now() {
        return System.currentTimeMillis();
    }

    private void settle(String nonce, Result result) {
        if (result == null || result.step() != Step.RUN) {
            mOwn.put(nonce, AttemptState.ABANDONED);
        }
    }

    /** Notes that a claimed request was never handed over, and tells the table service. */
    public CompletableFuture<Void> abandon(String key, Result claimed, String fingerprint) {
        mOwn.put(claimed.nonce(), AttemptState.ABANDONED);
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

    /** Writes down that a request ran, with its answer. */
    public CompletableFuture<TxnResult> done(
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

    /** Performs the steps of one try. */
    private final class Try {
        private final String mKey;
        private final ClaimProtocol mProtocol;
        private final CompletableFuture<Result> mDone = new CompletableFuture<>();
        private long mRevision;

        Try(String key, ClaimProtocol protocol) {
            mKey = key;
            mProtocol = protocol;
        }

        void perform(Step step) {
            switch (step) {
                case INSERT -> mStore.insert(mKey, mProtocol.row()).thenAccept(this::onWritten);
                case REPLACE ->
                        mStore.replace(mKey, mProtocol.row(), mRevision)
                                .thenAccept(this::onWritten);
                case READ -> mStore.read(mKey).whenComplete(this::onRead);
                default ->
                        mDone.complete(
                                new Result(
                                        step,
                                        mProtocol.row().nonce(),
                                        mRevision,
                                        mProtocol.observed()));
            }
        }

        private void onWritten(TxnResult result) {
            if (result instanceof TxnResult.Applied a) {
                mRevision = a.revision();
                perform(mProtocol.onApplied());
            } else if (result instanceof TxnResult.Conflict c) {
                Optional<ClaimStore.Seen> seen =
                        c.rows().stream()
                                .filter((Row r) -> r.key().equals(mKey))
                                .findFirst()
                                .map(ClaimStore::seen);
                seen.ifPresent(s -> mRevision = s.revision());
                perform(mProtocol.onConflict(seen.map(ClaimStore.Seen::row)));
            } else {
                perform(mProtocol.onUnknown());
            }
        }

        private void onRead(Optional<ClaimStore.Seen> seen, Throwable e) {
            if (e != null) {
                perform(mProtocol.onReadFailed());
                return;
            }
            seen.ifPresent(s -> mRevision = s.revision());
            perform(mProtocol.onRead(seen.map(ClaimStore.Seen::row)));
        }
    }
}
