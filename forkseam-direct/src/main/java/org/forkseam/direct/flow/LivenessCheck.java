package org.forkseam.direct.flow;

import org.forkseam.core.member.Target;
import org.forkseam.core.member.TargetIncarnation;
import org.forkseam.direct.io.ConnectionCallback;
import org.forkseam.direct.io.ExchangeFailure;
import org.forkseam.direct.io.HttpConnection;
import org.forkseam.direct.io.ReadBarrier;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Checks whether a target that closed a connection still listens. Used on the event loop.
 *
 * <p>The end of a response without a length is marked by the close of its connection, which the
 * kernel also does for a killed process. One new connection is opened per target and check; it
 * replaces the closed one.
 */
final class LivenessCheck {
    /** A process that ends may close its connections shortly before its listening socket. */
    private static final long SETTLE_MILLIS = 20;

    private final TargetConnections mTargetConnections;
    private final ReadBarrier mReadBarrier;
    private final Map<TargetIncarnation, List<Consumer<Boolean>>> mPending = new HashMap<>();

    LivenessCheck(TargetConnections targetConnections, ReadBarrier readBarrier) {
        mTargetConnections = targetConnections;
        mReadBarrier = readBarrier;
    }

    /**
     * Starts a check, or joins one that has not connected yet.
     *
     * @param listener receives false if the target refuses connections; a connect timeout tells
     *     nothing about the process
     */
    void check(Target t, Consumer<Boolean> listener) {
        List<Consumer<Boolean>> pending = mPending.get(t.incarnation());
        if (pending != null) {
            pending.add(listener);
            return;
        }
        pending = new ArrayList<>(List.of(listener));
        mPending.put(t.incarnation(), pending);
        mReadBarrier.schedule(SETTLE_MILLIS, () -> connect(t));
    }

    private void connect(Target t) {
        List<Consumer<Boolean>> listeners = mPending.remove(t.incarnation());
        mTargetConnections
                .pool(t)
                .openReplacement(
                        new ConnectionCallback() {
                            @Override
                            public void onConnection(HttpConnection c) {
                                c.release();
                                listeners.forEach(l -> l.accept(true));
                            }

                            @Override
                            public void onConnectionFailed(ExchangeFailure failure, String detail) {
                                boolean refused = failure == ExchangeFailure.NOBODY_LISTENS;
                                listeners.forEach(l -> l.accept(!refused));
                            }
                        });
    }
}
