package org.forkseam.direct.flow;

import org.forkseam.core.member.Target;
import org.forkseam.core.member.VersionHistory;
import org.forkseam.core.route.BoundedLoadPicker;
import org.forkseam.core.route.CandidateFilter;
import org.forkseam.core.route.Pick;
import org.forkseam.core.route.PickRequest;
import org.forkseam.core.route.PromptHolderIndex;
import org.forkseam.core.route.TargetPicker;
import org.forkseam.core.traffic.ColdStart;
import org.forkseam.core.traffic.Pool;
import org.forkseam.core.traffic.Prompt;
import org.forkseam.core.traffic.RouteKind;
import org.forkseam.core.util.Hashes;
import org.forkseam.direct.know.FleetState;
import org.forkseam.direct.know.PromptPlacements;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

/**
 * Selects targets for the attempts of one request, and the target from which a prompt can be
 * copied. Used on the event loop.
 */
final class TargetSelection {
    /** Reason that no target of the required software is listed. */
    static final String VERSION_GONE = "version_gone";

    private final RouterContext mContext;
    private final String mKey;
    private final long mKeyHash;
    private final long mSharedTokens;
    private final long mPromptTokens;
    private final Optional<Prompt> mPrompt;
    private final Set<String> mTried = new HashSet<>();
    private final Set<String> mBroken = new HashSet<>();
    private Optional<String> mCopySource = Optional.empty();
    private OptionalLong mRequiredSoftware = OptionalLong.empty();
    private Optional<PromptPlacements.Result> mPlacement = Optional.empty();

    TargetSelection(RouterContext context, CallerRequest request) {
        mContext = context;
        mPrompt = request.head().prompt();
        mKey = mPrompt.map(Prompt::sharedKey).orElse(request.id());
        mKeyHash = Hashes.of(mKey);
        mPromptTokens = mPrompt.map(Prompt::tokens).orElse(0L);
        mSharedTokens = mPrompt.map(Prompt::sharedTokens).orElse(0L);
    }

    /** Returns the selection key. */
    String key() {
        return mKey;
    }

    /** Returns the number of prompt tokens shared with other requests. */
    long sharedTokens() {
        return mSharedTokens;
    }

    /** Returns the length of the prompt in tokens. */
    long promptTokens() {
        return mPromptTokens;
    }

    /**
     * Returns the number of prompt tokens that a target reads if its cache holds the shared ones; 0
     * if it is not known to hold them.
     */
    long tokensToRead(Target t) {
        boolean holdsShared =
                mSharedTokens == 0
                        || mContext.fleetState()
                                .holders()
                                .isHolder(mKeyHash, t.incarnation(), mContext.now());
        return holdsShared ? mPromptTokens - mSharedTokens : 0;
    }

    /**
     * Returns the address of the target from which the last attempt was told to copy the prompt.
     */
    Optional<String> copySource() {
        return mCopySource;
    }

    /**
     * Restricts further selections to targets of the software that began the stream.
     *
     * @param softwareKey see {@link Target#softwareKey}
     */
    void requireSoftware(long softwareKey) {
        mRequiredSoftware = OptionalLong.of(softwareKey);
    }

    /** Returns whether a target that the request was not yet sent to accepts it. */
    boolean hasUntriedTarget(Admission admission) {
        long now = mContext.now();
        return allowedTargets(admission).stream()
                .anyMatch(t -> t.acceptsRequests(now) && !mTried.contains(t.entry().id()));
    }

    /** Records that a target broke a response off; it may still send the rest of a stream. */
    void onBroken(Target t) {
        mBroken.add(t.entry().id());
    }

    /**
     * Returns whether a target can continue a stream that was broken off. Those that broke it off
     * can be selected again, once, if there is no other.
     */
    boolean canContinueBrokenStream(Admission admission) {
        if (hasUntriedTarget(admission)) {
            return true;
        }
        mTried.removeAll(mBroken);
        mBroken.clear();
        return hasUntriedTarget(admission);
    }

    /** Returns whether a healthy target that the request was not yet sent to has a free slot. */
    boolean hasUntriedTargetWithRoom(Admission admission) {
        long now = mContext.now();
        return allowedTargets(admission).stream()
                .anyMatch(t -> hasRoom(t, now) && !mTried.contains(t.entry().id()));
    }

    private static boolean hasRoom(Target t, long now) {
        int slots = t.entry().slots();
        boolean free = slots == 0 || t.inFlight() + t.othersInFlight(now) < slots;
        return free
                && t.acceptsRequests(now)
                && !t.isFull(now)
                && !t.isSilent(now)
                && t.health().trafficShare(now) >= 1;
    }

    /**
     * Returns the targets that may take the request in a contended pool, full or not. Those that
     * refused it as full are included once they can have room again.
     */
    List<Target> admissionCandidates(Admission admission) {
        long now = mContext.now();
        return allowedTargets(admission).stream()
                .filter(t -> t.acceptsRequests(now) && !mTried.contains(t.entry().id()))
                .toList();
    }

    /** Allows a target to be selected again that refused the request as full. */
    void clearTried(Target t) {
        mTried.remove(t.entry().id());
    }

    /** Selects a target that the request was not yet sent to. */
    Optional<Pick> selectNext(Admission admission) {
        List<Target> all = allowedTargets(admission);
        List<Target> opened = withoutUnopenedVersions(all, admission);
        Optional<Pick> pick = select(admission, opened, all.size());
        if (pick.isPresent() || opened.size() == all.size()) {
            return pick;
        }
        List<Target> fallback = all.stream().filter(t -> millisToBegin(t, admission) == 0).toList();
        return select(admission, fallback, all.size());
    }

    /** Returns the time until a resumable stream may begin at a target if no other takes it. */
    private long millisToBegin(Target t, Admission a) {
        if (a.route().kind() != RouteKind.RESUMABLE || mRequiredSoftware.isPresent()) {
            return 0;
        }
        VersionHistory versions = mContext.fleetState().versions();
        return versions.unopenedVersions(a.pool(), mContext.now()).contains(t.softwareKey())
                ? versions.millisToFallback(a.pool(), t.softwareKey(), mContext.now())
                : 0;
    }

    /**
     * Removes targets of versions that are too new to the pool to begin streams, which callers may
     * resume at routers that do not know these versions yet.
     */
    private List<Target> withoutUnopenedVersions(List<Target> targets, Admission a) {
        if (a.route().kind() != RouteKind.RESUMABLE || mRequiredSoftware.isPresent()) {
            return targets;
        }
        Set<Long> unopened =
                mContext.fleetState().versions().unopenedVersions(a.pool(), mContext.now());
        return unopened.isEmpty()
                ? targets
                : targets.stream().filter(t -> !unopened.contains(t.softwareKey())).toList();
    }

    /**
     * Selects among some of the pool's targets.
     *
     * @param poolSize number of targets over which the load is averaged
     */
    private Optional<Pick> select(Admission admission, List<Target> targets, int poolSize) {
        long now = mContext.now();
        String pool = admission.pool();
        ColdStart cold = coldStart(admission);
        List<Target> admitted = mContext.coldStartLimiter().admissible(targets, cold, now);
        int idle = poolSize - admitted.size() + countPaused(admitted, now);
        CandidateFilter.Candidates c =
                mContext.selectors()
                        .candidateFilter()
                        .apply(withoutFullTargets(admitted, pool, now), mTried, now);
        PickRequest request =
                new PickRequest(
                        mKey,
                        mSharedTokens,
                        mContext.fleetState().shardTables().table(pool),
                        idle,
                        mPlacement.flatMap(PromptPlacements.Result::engine));
        Optional<Pick> pick = picker(admission).pick(request, c.targets(), now);
        pick.ifPresent(p -> onPick(pool, p, cold, now));
        return pick;
    }

    /** Removes the targets of a contended pool that are full, if another one has room. */
    private List<Target> withoutFullTargets(List<Target> targets, String pool, long now) {
        if (!mContext.isContended(pool)) {
            return targets;
        }
        List<Target> withRoom = targets.stream().filter(t -> !t.isFull(now)).toList();
        return withRoom.isEmpty() ? targets : withRoom;
    }

    /**
     * Returns the targets of the request's pool in the allowed regions, and of the required
     * software.
     */
    private List<Target> allowedTargets(Admission a) {
        List<Target> pool = mContext.fleetState().targets().pool(a.pool());
        List<Target> allowed =
                mContext.selectors().homeRegions().allowed(pool, a.route(), a.team());
        if (mRequiredSoftware.isEmpty()) {
            return allowed;
        }
        long required = mRequiredSoftware.getAsLong();
        return allowed.stream().filter(t -> t.softwareKey() == required).toList();
    }

    private static int countPaused(List<Target> targets, long now) {
        int n = 0;
        for (Target t : targets) {
            n += t.isPaused(now) ? 1 : 0;
        }
        return n;
    }

    private static ColdStart coldStart(Admission a) {
        return a.config().pool(a.pool()).map(Pool::coldStart).orElse(ColdStart.NONE);
    }

    private void onPick(String pool, Pick p, ColdStart cold, long now) {
        mTried.add(p.target().entry().id());
        mContext.coldStartLimiter().onRequestSent(p.target(), cold, now);
        mContext.fleetState().shardTables().onPick(pool, p.reason());
    }

    /**
     * Returns why no target is available.
     *
     * @param holdsOff whether a target is holding off requests and will accept them again
     */
    String unavailableReason(Admission admission, boolean holdsOff) {
        long now = mContext.now();
        List<Target> all = allowedTargets(admission);
        if (all.isEmpty() && mRequiredSoftware.isPresent()) {
            return VERSION_GONE;
        }
        long coldMillis = coldStart(admission).millis();
        if (all.stream().anyMatch(t -> t.acceptsRequests(now) && t.isCold(coldMillis, now))) {
            return "cold";
        }
        if (all.stream().anyMatch(t -> t.acceptsRequests(now) && millisToBegin(t, admission) > 0)) {
            return "version_opening";
        }
        if (all.stream().anyMatch(Target::isEvacuated)) {
            return "evacuated";
        }
        if (holdsOff) {
            return "holding_off";
        }
        return all.stream().anyMatch(t -> t.availability().isLeaving()) ? "leaving" : "no_target";
    }

    /**
     * Returns the time in milliseconds until the first allowed target accepts requests again; empty
     * if one accepts them now or none is expected to.
     */
    OptionalLong availableInMillis(Admission admission) {
        long now = mContext.now();
        OptionalLong first = OptionalLong.empty();
        for (Target t : allowedTargets(admission)) {
            if (t.acceptsRequests(now)) {
                long in = millisToBegin(t, admission);
                if (in == 0) {
                    return OptionalLong.empty();
                }
                first = OptionalLong.of(Math.min(in, first.orElse(Long.MAX_VALUE)));
                continue;
            }
            if (t.isEvacuated() || !t.isPoolMember()) {
                continue;
            }
            long in = t.availability().holdOffUntil() - now;
            first = OptionalLong.of(Math.min(in, first.orElse(Long.MAX_VALUE)));
        }
        return first;
    }

    private TargetPicker picker(Admission a) {
        boolean engine = a.config().pool(a.pool()).map(Pool::engine).orElse(false);
        return engine ? mContext.selectors().enginePicker() : mContext.selectors().servicePicker();
    }

    /** Returns the address of a target that is likely to hold the prompt, if this target is not. */
    Optional<String> copyFrom(Target t, String pool) {
        if (mSharedTokens == 0) {
            return Optional.empty();
        }
        if (mPlacement.filter(p -> isCopySourceKnown(p, t, pool)).isPresent()) {
            mCopySource =
                    mPlacement
                            .flatMap(PromptPlacements.Result::copySource)
                            .filter(s -> PromptHolderIndex.isUsableSource(s, t, mContext.now()))
                            .map(s -> s.entry().address());
            return mCopySource;
        }
        FleetState fleetState = mContext.fleetState();
        List<String> likely = fleetState.shardTables().likelyHolders(pool, mKeyHash);
        mCopySource =
                fleetState
                        .holders()
                        .copySource(mKeyHash, t, likely, fleetState.targets(), mContext.now())
                        .map(s -> s.entry().address());
        return mCopySource;
    }

    /**
     * Returns whether the coordinator knows better than this router whether and from where a target
     * has to copy the prompt. In a warm pool it does not know which prompts the engines held
     * before.
     */
    private boolean isCopySourceKnown(PromptPlacements.Result p, Target t, String pool) {
        boolean isCold = mContext.fleetState().placementPolicy().isCold(pool, mContext.now());
        return p.engine().filter(e -> e == t).isPresent() && (isCold || p.copySource().isPresent());
    }

    // ---------------------------------------------------------------- placement

    /** Prefers the engine that a coordinator has selected. */
    void onPlaced(PromptPlacements.Result placement) {
        mPlacement = Optional.of(placement);
    }

    /** Returns the first target in the key's order of preference that accepts requests. */
    Optional<Target> home(Admission a) {
        long now = mContext.now();
        List<Target> accepting =
                mContext.fleetState().targets().pool(a.pool()).stream()
                        .filter(t -> t.acceptsRequests(now))
                        .toList();
        PickRequest request =
                PickRequest.of(
                        mKey, mSharedTokens, mContext.fleetState().shardTables().table(a.pool()));
        return BoundedLoadPicker.home(request, accepting);
    }

    /** Returns whether all targets of the pool may serve the request. */
    boolean allowsWholePool(Admission a) {
        return allowedTargets(a).size() == mContext.fleetState().targets().pool(a.pool()).size();
    }

    boolean requiresSoftware() {
        return mRequiredSoftware.isPresent();
    }

    /** Returns whether this router knows a target that has processed the prompt. */
    boolean isHolderKnown() {
        return mContext.fleetState().holders().hasHolder(mKeyHash, mContext.now());
    }

    /** Returns the lengths and hashes of the prompt's shared parts. */
    PromptPlacements.PromptParts promptParts() {
        List<Prompt.Part> shared = mPrompt.map(Prompt::sharedParts).orElse(List.of());
        Prompt.Part head = shared.isEmpty() ? new Prompt.Part(mKey, 0) : shared.get(0);
        return new PromptPlacements.PromptParts(
                mKeyHash, Hashes.of(head.id()), head.tokens(), mSharedTokens, mPromptTokens);
    }

    /** Allows targets to be selected again that the request was already sent to. */
    void clearTried() {
        mTried.clear();
    }

    /** Records that a target has processed the prompt. */
    void onAnswered(String pool, Target t) {
        if (mSharedTokens > 0) {
            mContext.fleetState().onAnswered(pool, mKeyHash, t);
        }
    }
}
