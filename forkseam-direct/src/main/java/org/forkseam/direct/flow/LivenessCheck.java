package org.forkseam.direct.flow;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;

import org.forkseam.core.member.Target;
import org.forkseam.core.member.TargetIncarnation;
import org.forkseam.core.traffic.Pool;
import org.forkseam.direct.io.ConnectionCallback;
import org.forkseam.direct.io.ConnectionPool;
import org.forkseam.direct.io.ExchangeFailure;
import org.forkseam.direct.io.HttpConnection;
import org.forkseam.direct.io.ResponseListener;
import org.forkseam.direct.spi.ResponseHead;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Checks whether a target that closed a connection still runs. Used on the event loop.
 *
 * <p>The end of a response without a length is marked by the close of its connection, which the
 * kernel also does for a killed process. An open port proves nothing: it may outlast the process'
 * connections, or belong to another process by now. The target is therefore sent a health check
 * that only it accepts; any response of its own was made after the close. A target that has started
 * again under its id is told by its start time, or by its connections: one that is idle is used
 * first, as those of a process end with it. One check serves all responses of a target that end at
 * about the same time.
 */
final class LivenessCheck {
    /** Responses of a target that end within this time share a check. */
    private static final long SETTLE_MILLIS = 20;

    /** Time after which a target counts as unknown; a loaded one may respond late. */
    private static final long TIMEOUT_MILLIS = 3_000;

    /** Time after which a connection without a response is replaced. */
    private static final long RESPONSE_MILLIS = 1_000;

    private static final long RETRY_MILLIS = 50;

    /** Connections that were idle for longer may be about to be closed by the target. */
    private static final long MAX_IDLE_MILLIS = 1_000;

    private static final int MAX_BODY_BYTES = 16 << 10;

    /**
     * Stands for the id of health checks, which have none, so that no connection carries two: a
     * late second response to the first one would count as the response to the second.
     */
    private static final String CHECK_ID = "health check";

    /**
     * Time for which the end of a target is remembered: its connections break at about the same
     * time, and one that starts again may have the same id.
     */
    private static final long REMEMBER_ENDED_MILLIS = 1_000;

    /** Result of a check. The names are used as metric tag values. */
    enum Result {
        /** The target has responded after the close. */
        LIVES,
        /** The port is closed, or another target uses it. */
        ENDED,
        /** The target could not be reached, or did not respond. */
        UNKNOWN
    }

    private final RouterContext mContext;
    private final Map<TargetIncarnation, Check> mPending = new HashMap<>();
    private final Map<TargetIncarnation, Long> mEndedAt = new HashMap<>();

    LivenessCheck(RouterContext context) {
        mContext = context;
    }

    /**
     * Starts a check, or joins one that has not connected yet. Targets of a pool without a health
     * check count as living if their port is open.
     *
     * @param listener receives the result after {@value #TIMEOUT_MILLIS} ms at the latest
     */
    void check(Target t, Consumer<Result> listener) {
        Check pending = mPending.get(t.incarnation());
        if (pending == null) {
            pending = new Check(t);
            mPending.put(t.incarnation(), pending);
            pending.start();
        }
        pending.mListeners.add(listener);
    }

    /** Returns whether a check has just found that a target ended, whoever uses its port now. */
    boolean hasEnded(TargetIncarnation t) {
        forgetEnded();
        return mEndedAt.containsKey(t);
    }

    private void forgetEnded() {
        long since = mContext.now() - REMEMBER_ENDED_MILLIS;
        mEndedAt.values().removeIf(at -> at < since);
    }

    private String healthPath(Target t) {
        return mContext.fleetState()
                .config()
                .pool(t.entry().pool())
                .map(Pool::healthPath)
                .orElse("");
    }

    /** A health check of one target, repeated until it is answered. */
    private final class Check implements ConnectionCallback, ResponseListener {
        private final Target mTarget;
        private final List<Consumer<Result>> mListeners = new ArrayList<>();
        private final ByteBuf mBody = Unpooled.buffer(0);
        private HttpConnection mConnection;
        private boolean mOther;
        private boolean mNeedsNewConnection;
        private boolean mDone;

        Check(Target target) {
            mTarget = target;
        }

        void start() {
            mContext.readBarrier().schedule(SETTLE_MILLIS, this::connect);
            mContext.readBarrier().schedule(TIMEOUT_MILLIS, this::onTimeout);
        }

        private void connect() {
            if (mDone) {
                return;
            }
            mPending.remove(mTarget.incarnation(), this);
            if (mNeedsNewConnection || healthPath(mTarget).isEmpty()) {
                pool().openReplacement(this);
            } else {
                pool().acquireFor(CHECK_ID, MAX_IDLE_MILLIS, this);
            }
        }

        private ConnectionPool pool() {
            return mContext.targetConnections().pool(mTarget);
        }

        @Override
        public void onConnection(HttpConnection c) {
            String path = healthPath(mTarget);
            if (mDone || path.isEmpty()) {
                c.release();
                finish(Result.LIVES);
                return;
            }
            mConnection = c;
            mBody.clear();
            c.addRequestId(CHECK_ID);
            c.send(request(path), this::isOwnResponse, this);
            mContext.readBarrier().schedule(RESPONSE_MILLIS, () -> replace(c));
        }

        /**
         * Returns whether a response is not a late one to an earlier request on the connection. One
         * that names neither a request nor a target shows that only on a new connection, where the
         * check is then repeated.
         */
        private boolean isOwnResponse(HttpResponse head) {
            ResponseHead h = mContext.headerCodec().decode(head);
            if (h.requestIds().stream().anyMatch(mConnection::hasCarried)) {
                return false;
            }
            if (h.targetId().isPresent()) {
                return true;
            }
            if (!h.requestIds().isEmpty()) {
                return false;
            }
            if (mConnection.isFirstExchange()) {
                return true;
            }
            HttpConnection c = mConnection;
            mNeedsNewConnection = true;
            mContext.readBarrier().schedule(RETRY_MILLIS, () -> replace(c));
            return false;
        }

        /** Sends the health check on another connection unless this one has brought a response. */
        private void replace(HttpConnection c) {
            if (mConnection == c) {
                c.abort();
                retry();
            }
        }

        private FullHttpRequest request(String path) {
            FullHttpRequest r =
                    new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, path);
            r.headers().set(HttpHeaderNames.HOST, mTarget.entry().address());
            mContext.headerCodec().encodeHealthCheck(r.headers(), mTarget.entry().id());
            return r;
        }

        @Override
        public void onConnectionFailed(ExchangeFailure failure, String detail) {
            if (failure == ExchangeFailure.NOBODY_LISTENS) {
                finish(Result.ENDED);
                return;
            }
            if (failure == ExchangeFailure.NO_CONNECTION_FREE) {
                pool().openReplacement(this);
                return;
            }
            retry();
        }

        private void retry() {
            mConnection = null;
            mContext.readBarrier().schedule(RETRY_MILLIS, this::connect);
        }

        private void onTimeout() {
            if (mConnection != null) {
                mConnection.abort();
                mConnection = null;
            }
            finish(Result.UNKNOWN);
        }

        @Override
        public void onHead(HttpResponse head) {
            ResponseHead h = mContext.headerCodec().decode(head);
            String id = mTarget.entry().id();
            mOther = h.wrongTarget() || !h.targetId().orElse(id).equals(id);
        }

        @Override
        public void onBody(ByteBuf bytes) {
            if (mBody.readableBytes() + bytes.readableBytes() <= MAX_BODY_BYTES) {
                mBody.writeBytes(bytes);
            }
        }

        @Override
        public void onComplete() {
            mConnection = null;
            long known = mTarget.incarnation().born();
            long start = mContext.headerCodec().decodeStartMillis(mBody).orElse(known);
            boolean startedAgain = known != 0 && start != known;
            finish(mOther || startedAgain ? Result.ENDED : Result.LIVES);
        }

        @Override
        public void onExchangeFailed(ExchangeFailure failure, String detail) {
            retry();
        }

        private void finish(Result result) {
            if (mDone) {
                return;
            }
            mDone = true;
            mPending.remove(mTarget.incarnation(), this);
            if (result == Result.ENDED) {
                forgetEnded();
                mEndedAt.put(mTarget.incarnation(), mContext.now());
            }
            mContext.meters().onLivenessCheck(result.name().toLowerCase(Locale.ROOT));
            mListeners.forEach(l -> l.accept(result));
        }
    }
}
