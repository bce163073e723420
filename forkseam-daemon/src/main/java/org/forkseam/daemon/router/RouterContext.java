package org.forkseam.daemon.router;

import org.forkseam.core.outcome.RetryBudget;
import org.forkseam.core.route.Placement;
import org.forkseam.core.route.PrefixDirectory;
import org.forkseam.core.util.Clock;
import org.forkseam.core.util.DecisionLog;
import org.forkseam.daemon.share.DigestSampler;
import org.forkseam.daemon.share.Fleet;

import java.util.LinkedHashSet;
import java.util.Set;
import java.util.random.RandomGenerator;

/** State shared by all requests of a router. Not thread-safe: used on the event loop only. */
final class RouterContext {
    private final String mHost;
    private final byte[] mTicketKey;
    private final Clock mClock;
    private final RandomGenerator mRandom;
    private final Fleet mFleet;
    private final AttemptRegistry mAttempts;
    private final Placement mPlacement;
    private final PrefixDirectory mPrefixes;
    private final DigestSampler mDigests;
    private final ClaimLookup mClaims;
    private final RouterCounters mCounters;
    private final RetryBudget mBudget =
            RetryBudget.of(RetryBudget.DEFAULT_SHARE, RetryBudget.DEFAULT_RESERVE);
    private final DecisionLog mDecisions = DecisionLog.of(DecisionLog.DEFAULT_SIZE);
    private final QuotaLimiter mQuotas;
    private long mNextAttemptId;
    private final Set<RequestFlow> mFlows = new LinkedHashSet<>();

    /** Identity of the router process and its ticket-signing key. */
    record Identity(String host, long incarnation, byte[] ticketKey) {}

    /** Sources of time and randomness. */
    record Environment(Clock clock, RandomGenerator random) {}

    /** Claim lookup and quota enforcement. */
    record RequestChecks(ClaimLookup claims, QuotaLimiter quotas) {}

    /** Placement policy and its prefix directory. */
    record PlacementState(Placement placement, PrefixDirectory prefixes) {}

    RouterContext(
            Identity identity,
            Environment environment,
            Fleet fleet,
            AttemptRegistry attempts,
            PlacementState placement,
            RequestChecks checks,
            RouterCounters counters) {
        mHost = identity.host() + "." + Long.toString(identity.incarnation(), Character.MAX_RADIX);
        mTicketKey = identity.ticketKey();
        mClock = environment.clock();
        mRandom = environment.random();
        mFleet = fleet;
        mAttempts = attempts;
        mPlacement = placement.placement();
        mPrefixes = placement.prefixes();
        mDigests = DigestSampler.of(fleet, mClock, mRandom);
        mClaims = checks.claims();
        mQuotas = checks.quotas();
        mCounters = counters;
    }

    String host() {
        return mHost;
    }

    byte[] ticketKey() {
        return mTicketKey;
    }

    Clock clock() {
        return mClock;
    }

    RandomGenerator random() {
        return mRandom;
    }

    Fleet fleet() {
        return mFleet;
    }

    AttemptRegistry attempts() {
        return mAttempts;
    }

    Placement placement() {
        return mPlacement;
    }

    PrefixDirectory prefixes() {
        return mPrefixes;
    }

    DigestSampler digests() {
        return mDigests;
    }

    ClaimLookup claims() {
        return mClaims;
    }

    RouterCounters counters() {
        return mCounters;
    }

    RetryBudget budget() {
        return mBudget;
    }

    DecisionLog decisions() {
        return mDecisions;
    }

    QuotaLimiter quotas() {
        return mQuotas;
    }

    void onFlowStarted(RequestFlow flow) {
        mFlows.add(flow);
    }

    void onFlowEnded(RequestFlow flow) {
        mFlows.remove(flow);
    }

    /** Returns the requests whose response has not been fully delivered. */
    Set<RequestFlow> flows() {
        return mFlows;
    }

    long nextAttemptId() {
        return mNextAttemptId++;
    }
}
