package org.forkseam.daemon.router;

import com.google.protobuf.ByteString;

import io.activej.http.HttpHeaders;
import io.activej.http.HttpResponse;
import io.activej.net.socket.tcp.TcpSocket;
import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;

import org.forkseam.core.cfg.IntentSpec;
import org.forkseam.core.outcome.AttemptFailure;
import org.forkseam.core.outcome.OutcomeKind;
import org.forkseam.core.outcome.RefusalReason;
import org.forkseam.core.outcome.RetryAfter;
import org.forkseam.core.outcome.RetryPolicy;
import org.forkseam.core.route.Candidate;
import org.forkseam.core.route.CandidateQueue;
import org.forkseam.core.route.ChatTicket;
import org.forkseam.core.route.PlacementRequest;
import org.forkseam.core.route.PoolView;
import org.forkseam.core.route.TargetView;
import org.forkseam.wire.proto.End;
import org.forkseam.wire.proto.Head;
import org.forkseam.wire.proto.Header;
import org.forkseam.wire.proto.LoadDigest;
import org.forkseam.wire.proto.Submit;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.List;
import java.util.Locale;
import java.util.Optional;

/**
 * Processes one request: places it, runs its attempts and sends exactly one response. Not
 * thread-safe: used on the event loop only.
 *
 * <p>A non-streaming response is buffered until it is complete or exceeds the buffer limit, so that
 * a repeatable request can still be retried until then.
 */
final class RequestFlow implements Attempt.Listener, CallerStream.Listener {
    private static final int MAX_ATTEMPTS = 10;
    private static final int MAX_BUFFERED_BYTES = 1 << 20;
    private static final long DEADLINE_GRACE_MILLIS = 300;
    private static final int MAX_LOGGED_CANDIDATES = 5;

    private final RouterContext mContext;
    private final CallerRequest mRequest;
    private final TcpSocket mSocket;
    private final long mArrivedMillis;
    private final SettablePromise<HttpResponse> mResponse = new SettablePromise<>();
    private final CallerStream mStream = new CallerStream(this);
    private final ByteArrayOutputStream mBuffered = new ByteArrayOutputStream();
    private PoolView mPool;
    private String mPoolName = "";
    private IntentSpec mIntent;
    private PlacementRequest mPlacementRequest;
    private Optional<ChatTicket> mTicket = Optional.empty();
    private CandidateQueue mCandidateQueue;
    private long mDeadlineMillis;
    private Attempt mAttempt;
    private Head mHead;
    private int mAttempts;
    private boolean mStreaming;
    private boolean mFinished;
    private boolean mLeastLoadedTried;
    private AttemptFailure mLastFailure = AttemptFailure.notRun(RefusalReason.NO_TARGET, 1_000);

    RequestFlow(RouterContext context, CallerRequest request, TcpSocket socket) {
        mSocket = socket;
        mContext = context;
        mRequest = request;
        mArrivedMillis = context.clock().nowMillis();
    }

    // ---------------------------------------------------------------- placing

    Promise<HttpResponse> start() {
        mContext.counters().onRequest();
        mContext.onFlowStarted(this);
        mContext.budget().onRequest();
        if (place()) {
            mContext.attempts()
                    .schedule(
                            mDeadlineMillis - mArrivedMillis + DEADLINE_GRACE_MILLIS,
                            this::onDeadline);
            startNextAttempt();
        }
        return mResponse;
    }

    private boolean place() {
        var team = mContext.fleet().config().team(mRequest.team());
        var labels = team.labels().withAll(mRequest.labels());
        Optional<IntentSpec> intent = mContext.fleet().config().intentFor(labels);
        Optional<PoolView> pool = intent.flatMap(i -> mContext.fleet().view().pool(i.pool()));
        if (pool.isEmpty()) {
            finishWithFailure(
                    AttemptFailure.notRun(RefusalReason.NO_INTENT, 0)
                            .withDetail(labels.toString()));
            return false;
        }
        mIntent = intent.get();
        mPool = pool.get();
        mPoolName = mPool.spec().name();
        mDeadlineMillis =
                mArrivedMillis
                        + mRequest.deadlineMillis().orElse(mPool.spec().deadline().toMillis());
        var wait = mContext.quotas().tryAcquire(team, mArrivedMillis);
        if (wait.isPresent()) {
            long after = RetryAfter.withJitter(wait.getAsLong(), mContext.random());
            finishWithFailure(AttemptFailure.notRun(RefusalReason.OVER_QUOTA, after));
            return false;
        }
        rank();
        return true;
    }

    private void rank() {
        CallerRequest.Prompt p = mRequest.prompt();
        mTicket = ChatTicket.verify(mRequest.ticket(), p.chat(), mContext.ticketKey());
        mPlacementRequest =
                new PlacementRequest(
                        p.chat(),
                        p.tokens(),
                        p.sharedPrefix(),
                        p.sharedTokens(),
                        p.returning(),
                        mTicket);
        List<Candidate> ranked =
                mPool.targets().isEmpty()
                        ? List.of()
                        : mContext.placement().rank(mPlacementRequest, mPool, mArrivedMillis);
        recordDecision("intent " + mIntent.name() + " pool " + mPoolName, "");
        for (int i = 0; i < Math.min(MAX_LOGGED_CANDIDATES, ranked.size()); i++) {
            recordDecision(describe(ranked.get(i)), ranked.get(i).target().name());
        }
        mCandidateQueue = CandidateQueue.of(ranked);
    }

    private static String describe(Candidate c) {
        return String.format(
                Locale.ROOT,
                "candidate why=%s score=%.1f saved=%.0f load=%d limit=%d",
                c.reason(),
                c.score(),
                c.savedTokens(),
                c.load(),
                c.limit());
    }

    // ---------------------------------------------------------------- attempts

    private void startNextAttempt() {
        if (mAttempts >= MAX_ATTEMPTS || now() >= mDeadlineMillis) {
            finishWithFailure(
                    now() >= mDeadlineMillis ? deadlineExceeded(mLastFailure) : mLastFailure);
            return;
        }
        Optional<Candidate> c = mCandidateQueue.next(mPool, now());
        if (c.isPresent()) {
            send(c.get(), mContext.digests().forTarget(mPool, c.get().target().name()));
            return;
        }
        if (mLastFailure.reason() == RefusalReason.OVER_BOUND && !mLeastLoadedTried) {
            mLeastLoadedTried = true;
            sendToLeastLoaded();
            return;
        }
        finishWithFailure(mLastFailure);
    }

    private static AttemptFailure deadlineExceeded(AttemptFailure last) {
        return last.kind() == OutcomeKind.NOT_RUN
                ? AttemptFailure.notRun(RefusalReason.DEADLINE, 0)
                : AttemptFailure.mayHaveRun(RefusalReason.DEADLINE);
    }

    /** Submits to the least loaded usable target, telling it that all others refused. */
    private void sendToLeastLoaded() {
        TargetView best = null;
        for (TargetView t : mPool.targets()) {
            boolean usable = !t.isLeaving(now()) && t.health().trafficShare(now()) > 0;
            if (usable && (best == null || relativeLoad(t) < relativeLoad(best))) {
                best = t;
            }
        }
        if (best == null) {
            finishWithFailure(mLastFailure);
            return;
        }
        Candidate c =
                new Candidate(
                        best,
                        0,
                        0,
                        best.estimatedLoad(now()),
                        mPool.limit(best, now()),
                        Candidate.Reason.LOW_LOAD);
        send(c, List.of());
    }

    private double relativeLoad(TargetView t) {
        return (double) t.estimatedLoad(now()) / t.capacity();
    }

    private void send(Candidate c, List<LoadDigest> digests) {
        mAttempts++;
        CallerRequest.Forward f = mRequest.forward();
        Submit s =
                Submit.newBuilder()
                        .setRequestId(mRequest.id())
                        .setAttemptKey(
                                mRequest.id()
                                        + ":"
                                        + mContext.host()
                                        + ":"
                                        + mContext.nextAttemptId())
                        .setTeam(mRequest.team())
                        .setPool(mPoolName)
                        .setMethod(f.method())
                        .setPath(f.path())
                        .addAllHeaders(f.headers())
                        .setBody(ByteString.copyFrom(f.body()))
                        .setPriority(mRequest.priority().orElse(mIntent.priority()))
                        .setRemainingMillis(mDeadlineMillis - now())
                        .setUnrepeatable(mRequest.unrepeatable())
                        .setChat(f.chat())
                        .setStripUsage(f.stripUsage())
                        .setFingerprint(f.fingerprint())
                        .addAllDigests(digests)
                        .setOthersLoad(othersLoad(c.target()))
                        .setOthersRefused(mLeastLoadedTried)
                        .build();
        mAttempt = new Attempt(mContext.attempts(), c, s, this);
        mAttempt.start();
    }

    private int othersLoad(TargetView target) {
        long sum = 0;
        for (TargetView t : mPool.targets()) {
            sum += t == target ? 0 : t.estimatedLoad(now());
        }
        return (int) sum;
    }

    private void onDeadline() {
        if (!mFinished && mHead == null && mAttempt != null) {
            mAttempt.cancel();
            finishWithFailure(AttemptFailure.mayHaveRun(RefusalReason.DEADLINE));
        }
    }

    // ---------------------------------------------------------------- attempt events

    @Override
    public void onHead(Attempt attempt, Head head) {
        if (mFinished) {
            return;
        }
        mHead = head;
        mContext.counters().onFirstByte(now() - mArrivedMillis);
        attempt.candidate().target().health().onSuccess(now());
        if (mRequest.forward().stream() && head.getStatus() == 200) {
            startStreaming();
        }
    }

    /** Starts the response to the caller; the request cannot be retried afterwards. */
    private void startStreaming() {
        mStreaming = true;
        HttpResponse.Builder b = responseBuilder("streaming");
        b.withBodyStream(mStream.supplier());
        mStream.push(mBuffered.toByteArray());
        mBuffered.reset();
        mResponse.set(b.build());
    }

    private HttpResponse.Builder responseBuilder(String outcome) {
        HttpResponse.Builder b = HttpResponse.ofCode(mHead.getStatus());
        for (Header h : mHead.getHeadersList()) {
            b.withHeader(HttpHeaders.of(h.getName()), h.getValue());
        }
        String target = mAttempt.candidate().target().name();
        b.withHeader(CallerHeaders.OUTCOME, outcome);
        b.withHeader(CallerHeaders.TARGET, target);
        b.withHeader(
                CallerHeaders.WHY, mAttempt.candidate().reason().name().toLowerCase(Locale.ROOT));
        if (mRequest.forward().chat()) {
            ChatTicket t =
                    new ChatTicket(
                            mPlacementRequest.chat(),
                            target,
                            mPlacementRequest.promptTokens(),
                            now());
            b.withHeader(CallerHeaders.TICKET, t.sign(mContext.ticketKey()));
        }
        return addCommonHeaders(b);
    }

    private HttpResponse.Builder addCommonHeaders(HttpResponse.Builder b) {
        b.withHeader(CallerHeaders.REQUEST_ID, mRequest.id());
        b.withHeader(CallerHeaders.ATTEMPTS, Integer.toString(mAttempts));
        return b;
    }

    @Override
    public void onData(Attempt attempt, byte[] data) {
        if (mFinished) {
            return;
        }
        if (mStreaming) {
            mStream.push(data);
            return;
        }
        mBuffered.writeBytes(data);
        attempt.onConsumed(data.length);
        if (mBuffered.size() > MAX_BUFFERED_BYTES) {
            startStreaming();
        }
    }

    @Override
    public void onComplete(Attempt attempt, End end) {
        recordCacheReuse(attempt, end);
        recordDecision("answered", attempt.candidate().target().name());
        mContext.counters().onOutcome(OutcomeKind.ANSWERED);
        if (mFinished) {
            return;
        }
        mFinished = true;
        if (mStreaming) {
            mStream.end();
            return;
        }
        HttpResponse.Builder b = responseBuilder(Responses.outcome(OutcomeKind.ANSWERED));
        if (mRequest.forward().chat()) {
            b.withHeader(CallerHeaders.REUSED, Integer.toString(end.getCachedTokens()));
        }
        mResponse.set(b.withBody(mBuffered.toByteArray()).build());
        onFinished();
    }

    private void recordCacheReuse(Attempt attempt, End end) {
        if (!mRequest.forward().chat() || mHead.getReplayed()) {
            return;
        }
        TargetView t = attempt.candidate().target();
        if (end.getCacheLifetimeSeconds() > 0) {
            t.onCacheLifetime(end.getCacheLifetimeSeconds() * 1000L);
        }
        mContext.prefixes().onServed(mPlacementRequest.sharedPrefix(), t.name(), now());
        mTicket.filter(k -> k.target().equals(t.name()))
                .ifPresent(
                        k ->
                                t.onCacheResult(
                                        mArrivedMillis - k.atMillis(),
                                        k.tokens(),
                                        end.getCachedTokens()));
    }

    @Override
    public void onFailed(Attempt attempt, AttemptFailure why) {
        if (mFinished) {
            return;
        }
        TargetView t = attempt.candidate().target();
        recordDecision("lost " + why.kind() + " " + why.reason() + " " + why.detail(), t.name());
        mContext.counters().onRefused(why.reason());
        if (why.reason().isFailure()) {
            t.health().onFailure(now());
            mCandidateQueue.onFailure(t);
        }
        mLastFailure = why;
        mHead = null;
        mBuffered.reset();
        if (!why.owner().isEmpty()) {
            queryClaimOwner(why);
            return;
        }
        if (!RetryPolicy.maySafelyRetry(why, mRequest.unrepeatable(), mStreaming)) {
            finishWithFailure(why);
            return;
        }
        if (RetryPolicy.spendsBudget(why)) {
            if (!mContext.budget().tryRetry()) {
                finishWithFailure(why.withDetail(RefusalReason.NO_BUDGET.text()));
                return;
            }
            mContext.counters().onRetry();
        } else {
            mContext.counters().onSpill();
        }
        startNextAttempt();
    }

    /** Forwards the request to the target holding its claim, which alone knows its outcome. */
    private void queryClaimOwner(AttemptFailure why) {
        Optional<TargetView> owner = mContext.fleet().view().target(why.owner());
        if (owner.isEmpty() || mAttempts >= MAX_ATTEMPTS) {
            finishWithFailure(
                    AttemptFailure.mayHaveRun(RefusalReason.CLAIMED_ELSEWHERE)
                            .withDetail(why.owner()));
            return;
        }
        // If the owner is unreachable, the request may still have run there.
        mLastFailure = AttemptFailure.mayHaveRun(RefusalReason.CLAIMED_ELSEWHERE);
        mCandidateQueue = CandidateQueue.of(List.of());
        Candidate c = new Candidate(owner.get(), 0, 0, 0, 0, Candidate.Reason.UNSCORED);
        send(c, List.of());
    }

    // ---------------------------------------------------------------- response

    /** Ends the request with an error response. */
    private void finishWithFailure(AttemptFailure why) {
        if (mFinished) {
            return;
        }
        mFinished = true;
        boolean uncertain =
                mRequest.unrepeatable() && why.kind() == OutcomeKind.NOT_RUN && mAttempts > 0;
        if (uncertain) {
            mContext.claims().confirmNotRun(mRequest, why).thenAccept(this::respond);
        } else {
            respond(why);
        }
    }

    private void respond(AttemptFailure why) {
        recordDecision("final " + why.kind() + " " + why.reason(), "");
        mContext.counters().onOutcome(why.kind());
        if (!mStreaming) {
            mResponse.set(addCommonHeaders(Responses.failure(why)).build());
            onFinished();
            return;
        }
        if (mRequest.forward().stream()) {
            mStream.push(Responses.errorEvent(why));
        }
        mStream.fail(new IOException("response aborted: " + why.reason()));
    }

    @Override
    public void onConsumed(int bytes) {
        if (mAttempt != null) {
            mAttempt.onConsumed(bytes);
        }
    }

    TcpSocket socket() {
        return mSocket;
    }

    /** Aborts the request of a caller that disconnected while waiting for the response. */
    void abortDisconnected() {
        IOException cause = new IOException("caller disconnected");
        if (mStreaming) {
            mSocket.closeEx(cause);
            return;
        }
        onDisconnected();
        onFinished();
        mSocket.closeEx(cause);
        mResponse.trySetException(cause);
    }

    @Override
    public void onDisconnected() {
        if (mFinished) {
            return;
        }
        mContext.counters().onCallerDisconnected();
        mFinished = true;
        if (mAttempt != null) {
            mAttempt.cancel();
        }
    }

    @Override
    public void onFinished() {
        mContext.onFlowEnded(this);
    }

    private long now() {
        return mContext.clock().nowMillis();
    }

    private void recordDecision(String what, String where) {
        mContext.decisions().add(mRequest.id(), what, where);
    }
}
