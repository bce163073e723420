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
 * Carries one request through its attempts to its one final answer. Used on the event loop.
 *
 * <p>Nothing of an answer goes to the caller before it must: a whole answer is gathered first, so
 * that until its end another attempt is still possible for a repeatable request.
 */
final class RequestFlow implements Attempt.Listener, CallerStream.Listener {
    private static final int MAX_ATTEMPTS = 10;
    private static final int GATHER_BYTES = 1 << 20;
    private static final long DEADLINE_GRACE_MILLIS = 300;
    private static final int MAX_NOTED = 5;

    private final RouterContext mContext;
    private final CallerRequest mRequest;
    private final TcpSocket mSocket;
    private final long mArrivedMillis;
    private final SettablePromise<HttpResponse> mResponse = new SettablePromise<>();
    private final CallerStream mStream = new CallerStream(this);
    private final ByteArrayOutputStream mGathered = new ByteArrayOutputStream();
    private PoolView mPool;
    private String mPoolName = "";
    private IntentSpec mIntent;
    private PlacementRequest mPlacement;
    private Optional<ChatTicket> mTicket = Optional.empty();
    private CandidateQueue mOrder;
    private long mDeadlineMillis;
    private Attempt mAttempt;
    private Head mHead;
    private int mAttempts;
    private boolean mShown;
    private boolean mOver;
    private boolean mLastRound;
    private AttemptFailure mLastRefused = AttemptFailure.notRun(RefusalReason.NO_TARGET, 1_000);

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
                    .later(mDeadlineMillis - mArrivedMillis + DEADLINE_GRACE_MILLIS, this::onLate);
            next();
        }
        return mResponse;
    }

    private boolean place() {
        var team = mContext.fleet().config().team(mRequest.team());
        var labels = team.labels().withAll(mRequest.labels());
        Optional<IntentSpec> intent = mContext.fleet().config().intentFor(labels);
        Optional<PoolView> pool = intent.flatMap(i -> mContext.fleet().view().pool(i.pool()));
        if (pool.isEmpty()) {
            finish(AttemptFailure.notRun(RefusalReason.NO_INTENT, 0).withDetail(labels.toString()));
            return false;
        }
        mIntent = intent.get();
        mPool = pool.get();
        mPoolName = mPool.spec().name();
        mDeadlineMillis =
                mArrivedMillis
                        + mRequest.deadlineMillis().orElse(mPool.spec().deadline().toMillis());
        var wait = mContext.quotas().refuse(team, mArrivedMillis);
        if (wait.isPresent()) {
            long after = RetryAfter.withJitter(wait.getAsLong(), mContext.random());
            finish(AttemptFailure.notRun(RefusalReason.OVER_QUOTA, after));
            return false;
        }
        rank();
        return true;
    }

    private void rank() {
        CallerRequest.Prompt p = mRequest.prompt();
        mTicket = ChatTicket.verify(mRequest.ticket(), p.chat(), mContext.ticketKey());
        mPlacement =
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
                        : mContext.placement().rank(mPlacement, mPool, mArrivedMillis);
        note("intent " + mIntent.name() + " pool " + mPoolName, "");
        for (int i = 0; i < Math.min(MAX_NOTED, ranked.size()); i++) {
            note(describe(ranked.get(i)), ranked.get(i).target().name());
        }
        mOrder = CandidateQueue.of(ranked);
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

    private void next() {
        if (mAttempts >= MAX_ATTEMPTS || now() >= mDeadlineMillis) {
            finish(now() >= mDeadlineMillis ? late(mLastRefused) : mLastRefused);
            return;
        }
        Optional<Candidate> c = mOrder.next(mPool, now());
        if (c.isPresent()) {
            send(c.get(), mContext.digests().forTarget(mPool, c.get().target().name()));
            return;
        }
        if (mLastRefused.reason() == RefusalReason.OVER_BOUND && !mLastRound) {
            mLastRound = true;
            sendToLeastLoaded();
            return;
        }
        finish(mLastRefused);
    }

    private static AttemptFailure late(AttemptFailure last) {
        return last.kind() == OutcomeKind.NOT_RUN
                ? AttemptFailure.notRun(RefusalReason.DEADLINE, 0)
                : AttemptFailure.mayHaveRun(RefusalReason.DEADLINE);
    }

    /** Every target refused by what it knew of the others; the least loaded is told of them all. */
    private void sendToLeastLoaded() {
        TargetView best = null;
        for (TargetView t : mPool.targets()) {
            boolean usable = !t.isLeaving(now()) && t.health().trafficShare(now()) > 0;
            if (usable && (best == null || relative(t) < relative(best))) {
                best = t;
            }
        }
        if (best == null) {
            finish(mLastRefused);
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

    private double relative(TargetView t) {
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
                                        + mContext.nextAttempt())
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
                        .setOthersRefused(mLastRound)
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

    private void onLate() {
        if (!mOver && mHead == null && mAttempt != null) {
            mAttempt.cancel();
            finish(AttemptFailure.mayHaveRun(RefusalReason.DEADLINE));
        }
    }

    // ---------------------------------------------------------------- from the attempt

    @Override
    public void onHead(Attempt attempt, Head head) {
        if (mOver) {
            return;
        }
        mHead = head;
        mContext.counters().onFirstByte(now() - mArrivedMillis);
        attempt.candidate().target().health().onSuccess(now());
        if (mRequest.forward().stream() && head.getStatus() == 200) {
            show();
        }
    }

    /** Starts the answer to the caller; from here on no other attempt is possible. */
    private void show() {
        mShown = true;
        HttpResponse.Builder b = headed("streaming");
        b.withBodyStream(mStream.supplier());
        mStream.push(mGathered.toByteArray());
        mGathered.reset();
        mResponse.set(b.build());
    }

    private HttpResponse.Builder headed(String outcome) {
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
                    new ChatTicket(mPlacement.chat(), target, mPlacement.promptTokens(), now());
            b.withHeader(CallerHeaders.TICKET, t.sign(mContext.ticketKey()));
        }
        return common(b);
    }

    private HttpResponse.Builder common(HttpResponse.Builder b) {
        b.withHeader(CallerHeaders.REQUEST_ID, mRequest.id());
        b.withHeader(CallerHeaders.ATTEMPTS, Integer.toString(mAttempts));
        return b;
    }

    @Override
    public void onData(Attempt attempt, byte[] data) {
        if (mOver) {
            return;
        }
        if (mShown) {
            mStream.push(data);
            return;
        }
        mGathered.writeBytes(data);
        attempt.onTaken(data.length);
        if (mGathered.size() > GATHER_BYTES) {
            show();
        }
    }

    @Override
    public void onWhole(Attempt attempt, End end) {
        learnReuse(attempt, end);
        note("answered", attempt.candidate().target().name());
        mContext.counters().onOutcome(OutcomeKind.ANSWERED);
        if (mOver) {
            return;
        }
        mOver = true;
        if (mShown) {
            mStream.end();
            return;
        }
        HttpResponse.Builder b = headed(Responses.outcome(OutcomeKind.ANSWERED));
        if (mRequest.forward().chat()) {
            b.withHeader(CallerHeaders.REUSED, Integer.toString(end.getCachedTokens()));
        }
        mResponse.set(b.withBody(mGathered.toByteArray()).build());
        onFinished();
    }

    private void learnReuse(Attempt attempt, End end) {
        if (!mRequest.forward().chat() || mHead.getReplayed()) {
            return;
        }
        TargetView t = attempt.candidate().target();
        if (end.getCacheLifetimeSeconds() > 0) {
            t.onCacheLifetime(end.getCacheLifetimeSeconds() * 1000L);
        }
        mContext.prefixes().onServed(mPlacement.sharedPrefix(), t.name(), now());
        mTicket.filter(k -> k.target().equals(t.name()))
                .ifPresent(
                        k ->
                                t.onCacheResult(
                                        mArrivedMillis - k.atMillis(),
                                        k.tokens(),
                                        end.getCachedTokens()));
    }

    @Override
    public void onLost(Attempt attempt, AttemptFailure why) {
        if (mOver) {
            return;
        }
        TargetView t = attempt.candidate().target();
        note("lost " + why.kind() + " " + why.reason() + " " + why.detail(), t.name());
        mContext.counters().onRefused(why.reason());
        if (why.reason().isFailure()) {
            t.health().onFailure(now());
            mOrder.onFailure(t);
        }
        mLastRefused = why;
        mHead = null;
        mGathered.reset();
        if (!why.owner().isEmpty()) {
            askOwner(why);
            return;
        }
        if (!RetryPolicy.maySafelyRetry(why, mRequest.unrepeatable(), mShown)) {
            finish(why);
            return;
        }
        if (RetryPolicy.spendsBudget(why)) {
            if (!mContext.budget().tryRetry()) {
                finish(why.withDetail(RefusalReason.NO_BUDGET.text()));
                return;
            }
            mContext.counters().onRetry();
        } else {
            mContext.counters().onSpill();
        }
        next();
    }

    /** Only the target that holds the claim can tell what became of the request. */
    private void askOwner(AttemptFailure why) {
        Optional<TargetView> owner = mContext.fleet().view().target(why.owner());
        if (owner.isEmpty() || mAttempts >= MAX_ATTEMPTS) {
            finish(
                    AttemptFailure.mayHaveRun(RefusalReason.CLAIMED_ELSEWHERE)
                            .withDetail(why.owner()));
            return;
        }
        // If the owner cannot be asked either, the request may have run there.
        mLastRefused = AttemptFailure.mayHaveRun(RefusalReason.CLAIMED_ELSEWHERE);
        mOrder = CandidateQueue.of(List.of());
        Candidate c = new Candidate(owner.get(), 0, 0, 0, 0, Candidate.Reason.UNSCORED);
        send(c, List.of());
    }

    // ---------------------------------------------------------------- to the caller

    /** Gives the final word at once. */
    private void finish(AttemptFailure why) {
        if (mOver) {
            return;
        }
        mOver = true;
        boolean doubtful =
                mRequest.unrepeatable() && why.kind() == OutcomeKind.NOT_RUN && mAttempts > 0;
        if (doubtful) {
            mContext.claims().confirmNotRun(mRequest, why).thenAccept(this::answer);
        } else {
            answer(why);
        }
    }

    private void answer(AttemptFailure why) {
        note("final " + why.kind() + " " + why.reason(), "");
        mContext.counters().onOutcome(why.kind());
        if (!mShown) {
            mResponse.set(common(Responses.refused(why)).build());
            onFinished();
            return;
        }
        if (mRequest.forward().stream()) {
            mStream.push(Responses.errorEvent(why));
        }
        mStream.fail(new IOException("answer broken off: " + why.reason()));
    }

    @Override
    public void onTaken(int bytes) {
        if (mAttempt != null) {
            mAttempt.onTaken(bytes);
        }
    }

    TcpSocket socket() {
        return mSocket;
    }

    /** Ends the request of a caller whose connection has gone while nothing was written to it. */
    void onHungUp() {
        IOException gone = new IOException("the caller has gone");
        if (mShown) {
            mSocket.closeEx(gone);
            return;
        }
        onGone();
        onFinished();
        mSocket.closeEx(gone);
        mResponse.trySetException(gone);
    }

    @Override
    public void onGone() {
        if (mOver) {
            return;
        }
        mContext.counters().onCallerGone();
        mOver = true;
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

    private void note(String what, String where) {
        mContext.decisions().add(mRequest.id(), what, where);
    }
}
