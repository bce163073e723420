package org.forkseam.direct.know;

import org.forkseam.core.crash.Fingerprint;
import org.forkseam.core.crash.RequestFingerprints;
import org.forkseam.direct.know.Quarantine.Verdict;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

/**
 * Checks one request against the quarantine for requests that crashed targets. Called before each
 * attempt and again right before sending, as the quarantine may change while a connection opens.
 * Used on the event loop.
 *
 * @since 0.7
 */
public final class QuarantineCheck {
    private final Quarantine mQuarantine;
    private final RequestFingerprints mFingerprints;
    private final Set<Long> mRequestedTrials = new HashSet<>();
    private final Set<Long> mGrantedTrials = new HashSet<>();

    private QuarantineCheck(Quarantine quarantine, RequestFingerprints fingerprints) {
        mQuarantine = quarantine;
        mFingerprints = fingerprints;
    }

    /** Creates the check of one request. */
    public static QuarantineCheck of(Quarantine quarantine, RequestFingerprints fingerprints) {
        return new QuarantineCheck(quarantine, fingerprints);
    }

    private Verdict verdict(long fingerprint) {
        return mGrantedTrials.contains(fingerprint)
                ? Verdict.SERVE
                : mQuarantine.verdict(fingerprint, mFingerprints.all());
    }

    /** Returns the first fingerprint with a verdict. */
    private Optional<Long> first(Verdict verdict) {
        return mFingerprints.all().stream().filter(f -> verdict(f) == verdict).findFirst();
    }

    /** Returns whether the request may be sent to a target. */
    public boolean maySend() {
        for (long f : mFingerprints.all()) {
            if (verdict(f) != Verdict.SERVE) {
                return false;
            }
        }
        return true;
    }

    /** Returns whether this router may request a trial, which allows one attempt. */
    public boolean canRequestTrial() {
        return first(Verdict.REFUSE).isEmpty()
                && first(Verdict.TRY).filter(f -> !mRequestedTrials.contains(f)).isPresent();
    }

    /** Requests a trial and runs {@code callback} when the decision is known. */
    public void requestTrial(Runnable callback) {
        long fingerprint = first(Verdict.TRY).orElseThrow();
        mRequestedTrials.add(fingerprint);
        mQuarantine
                .requestTrial(fingerprint)
                .thenAccept(
                        granted -> {
                            if (granted) {
                                mGrantedTrials.add(fingerprint);
                            }
                            callback.run();
                        });
    }

    /**
     * Records the result of an attempt. A trial is used up only by an attempt that the target may
     * have run; others say nothing about the request.
     *
     * @param answered whether the target answered the request
     * @param served whether it answered with a success whose end was marked, which a crash cannot
     *     look like
     */
    public void onAttemptEnd(boolean mayHaveRun, boolean answered, boolean served) {
        if (mayHaveRun) {
            mGrantedTrials.forEach(f -> onTrialEnd(f, answered, served));
            mGrantedTrials.clear();
        }
        if (answered) {
            mQuarantine.onAnswered(mFingerprints.content());
        }
        if (served) {
            onPartsServed();
        }
    }

    /** Ends the trial of a part only if it was served; a crash is reported by its detector. */
    private void onTrialEnd(long fingerprint, boolean answered, boolean served) {
        if (Fingerprint.isPart(fingerprint)) {
            if (served) {
                mQuarantine.onTrialEnded(fingerprint, true);
            }
        } else {
            mQuarantine.onTrialEnded(fingerprint, answered);
        }
    }

    /** Records that a target has processed the prompt and survived. */
    public void onPartsServed() {
        for (long f : mFingerprints.all()) {
            if (Fingerprint.isPart(f)) {
                mQuarantine.onAnswered(f);
            }
        }
    }

    /** Returns the fingerprint for which the request is refused. */
    public long blamed() {
        return first(Verdict.REFUSE).or(() -> first(Verdict.TRY)).orElse(mFingerprints.content());
    }

    /** Returns the time after which a refused caller may retry. */
    public long retryAfterMillis() {
        return mQuarantine.retryAfterMillis(blamed(), mFingerprints.all());
    }
}
