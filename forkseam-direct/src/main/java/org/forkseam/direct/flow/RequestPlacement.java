package org.forkseam.direct.flow;

import org.forkseam.core.member.Target;
import org.forkseam.core.route.CandidateFilter;
import org.forkseam.core.route.Pick;
import org.forkseam.core.route.PickRequest;
import org.forkseam.core.route.TargetPicker;
import org.forkseam.core.traffic.ColdStart;
import org.forkseam.core.traffic.Pool;
import org.forkseam.core.traffic.Prompt;
import org.forkseam.core.util.Hashes;
import org.forkseam.direct.know.Knowledge;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

/**
 * Chooses the targets of one request, and where a target copies a prompt from that it has not read.
 * Used on the event loop.
 */
final class RequestPlacement {
    private final RouterContext mContext;
    private final String mKey;
    private final long mKeyHash;
    private final long mSharedTokens;
    private final Set<String> mTried = new HashSet<>();
    private Optional<String> mCopySource = Optional.empty();

    RequestPlacement(RouterContext context, CallerRequest request) {
        mContext = context;
        Optional<Prompt> prompt = request.head().prompt();
        mKey = prompt.map(Prompt::sharedKey).orElse(request.id());
        mKeyHash = Hashes.of(mKey);
        mSharedTokens = prompt.map(Prompt::sharedTokens).orElse(0L);
    }

    /** Returns what the choice is made by. */
    String key() {
        return mKey;
    }

    /** Returns the tokens of the prompt that other requests share. */
    long sharedTokens() {
        return mSharedTokens;
    }

    /** Returns the target that the last request was told to copy the prompt from. */
    Optional<String> copySource() {
        return mCopySource;
    }

    /** Chooses a target that this request was not sent to yet. */
    Optional<Pick> next(Admission admission) {
        long now = mContext.now();
        String pool = admission.pool();
        ColdStart cold = coldStart(admission);
        List<Target> all = allowed(admission);
        List<Target> admitted = mContext.coldGate().admitted(all, cold, now);
        int resting = all.size() - admitted.size() + resting(admitted, now);
        CandidateFilter.Candidates c = mContext.placing().filter().apply(admitted, mTried, now);
        PickRequest request =
                new PickRequest(
                        mKey, mSharedTokens, mContext.knowledge().seats().table(pool), resting);
        Optional<Pick> pick = picker(admission).pick(request, c.targets(), now);
        pick.ifPresent(p -> onPick(pool, p, cold, now));
        return pick;
    }

    /** Returns the targets of a request's pool in the regions that it may go to. */
    private List<Target> allowed(Admission a) {
        List<Target> pool = mContext.knowledge().targets().pool(a.pool());
        return mContext.placing().regions().allowed(pool, a.route(), a.team());
    }

    private static int resting(List<Target> targets, long now) {
        int n = 0;
        for (Target t : targets) {
            n += t.rests(now) ? 1 : 0;
        }
        return n;
    }

    private static ColdStart coldStart(Admission a) {
        return a.config().pool(a.pool()).map(Pool::coldStart).orElse(ColdStart.NONE);
    }

    private void onPick(String pool, Pick p, ColdStart cold, long now) {
        mTried.add(p.target().entry().id());
        mContext.coldGate().onSent(p.target(), cold, now);
        mContext.knowledge().seats().onPick(pool, p.reason());
    }

    /**
     * Says why there is no target that this request could be sent to.
     *
     * @param holdsOff whether one is known to want work again, and none does now
     */
    String whyNone(Admission admission, boolean holdsOff) {
        long now = mContext.now();
        List<Target> all = allowed(admission);
        long coldMillis = coldStart(admission).millis();
        if (all.stream().anyMatch(t -> t.takesWork(now) && t.isCold(coldMillis, now))) {
            return "cold";
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
     * Returns in how many milliseconds the first target that a request may go to wants work again;
     * empty if one does now, or none is known to.
     */
    OptionalLong freeAgainIn(Admission admission) {
        long now = mContext.now();
        OptionalLong first = OptionalLong.empty();
        for (Target t : allowed(admission)) {
            if (t.takesWork(now)) {
                return OptionalLong.empty();
            }
            if (t.isEvacuated() || !t.stays()) {
                continue;
            }
            long in = t.availability().holdOffUntil() - now;
            first = OptionalLong.of(Math.min(in, first.orElse(Long.MAX_VALUE)));
        }
        return first;
    }

    private TargetPicker picker(Admission a) {
        boolean engine = a.config().pool(a.pool()).map(Pool::engine).orElse(false);
        return engine ? mContext.placing().engines() : mContext.placing().services();
    }

    /** Finds a target from which this one can copy the prompt it is not likely to have. */
    Optional<String> copyFrom(Target t, String pool) {
        if (mSharedTokens == 0) {
            return Optional.empty();
        }
        Knowledge known = mContext.knowledge();
        List<String> likely = known.seats().likelyHolders(pool, mKeyHash);
        mCopySource =
                known.holders()
                        .copySource(mKeyHash, t, likely, known.targets(), mContext.now())
                        .map(s -> s.entry().address());
        return mCopySource;
    }

    /** Lets the request go once more to targets that it was sent to. */
    void forgetTried() {
        mTried.clear();
    }

    /** Notes that a target has read the prompt. */
    void onAnswered(String pool, Target t) {
        if (mSharedTokens > 0) {
            mContext.knowledge().onAnswered(pool, mKeyHash, t);
        }
    }
}
