package org.forkseam.core.place;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Model of an engine: chunked prefill in the order of arrival beside decoding. Rates are those that
 * {@code docs/design/hard-load.md} gives for Moreton.
 */
final class EngineModel {
    private static final int CHUNK_TOKENS = 1_024;
    private static final int TOKENS_PER_EVENT = 4;
    private static final double STEP_MILLIS = 5.5;
    private static final double PREFILL_TOKENS_PER_MILLI = 38.7;
    private static final double MILLIS_PER_PAIR = 0.737e-6;
    private static final double MILLIS_PER_RUNNING = 0.0121;
    private static final double MILLIS_PER_CONTEXT_TOKEN = 23e-6;
    private static final double COPY_MILLIS = 2.7;
    private static final double COPY_MILLIS_PER_TOKEN = 0.01;

    private final PoolModel mPool;
    private final double mSpeed;
    private final Set<Long> mCache = new HashSet<>();
    private final List<Work> mPrefill = new ArrayList<>();
    private final List<Work> mDecode = new ArrayList<>();
    private boolean mBusy;
    private double mSlow = 1;

    /** A request at an engine. */
    static final class Work {
        private final PoolModel.Request mRequest;
        private final EngineModel mSource;
        private int mLeft = -1;
        private int mTokens;

        Work(PoolModel.Request request, EngineModel source) {
            mRequest = request;
            mSource = source;
        }
    }

    EngineModel(PoolModel pool, double speed) {
        mPool = pool;
        mSpeed = speed;
    }

    void setSlow(double slow) {
        mSlow = slow;
    }

    double slowdown() {
        return mSlow / mSpeed;
    }

    void warmUp(PoolModel.Key k) {
        mCache.add(k.head());
        mCache.add(k.hash());
    }

    void add(Work w) {
        mPrefill.add(w);
        if (!mBusy) {
            mBusy = true;
            step();
        }
    }

    private int uncached(PoolModel.Request r) {
        if (mCache.contains(r.key().hash())) {
            return r.promptTokens() - r.key().sharedTokens();
        }
        return r.promptTokens() - (mCache.contains(r.key().head()) ? r.key().headTokens() : 0);
    }

    /** Determines what a request has to prefill; returns the time of a copy from another engine. */
    private double begin(Work w) {
        PoolModel.Key k = w.mRequest.key();
        w.mLeft = uncached(w.mRequest);
        if (w.mSource == null || mCache.contains(k.hash())) {
            return 0;
        }
        boolean whole = w.mSource.mCache.contains(k.hash());
        if (!whole && (!w.mSource.mCache.contains(k.head()) || mCache.contains(k.head()))) {
            return COPY_MILLIS;
        }
        mCache.add(whole ? k.hash() : k.head());
        mCache.add(k.head());
        w.mLeft = uncached(w.mRequest);
        return COPY_MILLIS + COPY_MILLIS_PER_TOKEN * (whole ? k.sharedTokens() : k.headTokens());
    }

    private void step() {
        if (mPrefill.isEmpty() && mDecode.isEmpty()) {
            mBusy = false;
            return;
        }
        double millis = STEP_MILLIS + MILLIS_PER_RUNNING * mDecode.size();
        for (Work w : mDecode) {
            millis += MILLIS_PER_CONTEXT_TOKEN * w.mRequest.promptTokens();
        }
        int budget = CHUNK_TOKENS;
        List<Work> prefilled = new ArrayList<>();
        for (Work w : mPrefill) {
            millis += w.mLeft < 0 ? begin(w) : 0;
            int n = Math.min(budget, w.mLeft);
            double context = w.mRequest.promptTokens() - w.mLeft + n / 2.0;
            millis += n / PREFILL_TOKENS_PER_MILLI + MILLIS_PER_PAIR * n * context;
            w.mLeft -= n;
            budget -= n;
            if (w.mLeft == 0) {
                prefilled.add(w);
            }
            if (budget == 0) {
                break;
            }
        }
        mPool.after(millis * slowdown(), () -> endStep(prefilled));
    }

    private void endStep(List<Work> prefilled) {
        for (Work w : List.copyOf(mDecode)) {
            w.mTokens++;
            if (w.mTokens % TOKENS_PER_EVENT == 0) {
                boolean ended = w.mTokens >= TOKENS_PER_EVENT * w.mRequest.events();
                mPool.onEvent(w.mRequest, this, ended);
                if (ended) {
                    mDecode.remove(w);
                }
            }
        }
        mPrefill.removeAll(prefilled);
        for (Work w : prefilled) {
            warmUp(w.mRequest.key());
            mDecode.add(w);
        }
        step();
    }
}
