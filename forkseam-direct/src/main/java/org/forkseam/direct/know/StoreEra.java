package org.forkseam.direct.know;

import org.forkseam.core.store.StorePosition;
import org.forkseam.direct.log.Event;

import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/**
 * Follows which era of the store is the newest, by the store's answers and by other routers. What
 * names an era that cannot be is not believed, so that harmed bytes make no router pass over all
 * that follows. Used on the event loop; counts are read from any thread.
 */
final class StoreEra {
    /** Returns that a router may have missed at once; more are bytes that were harmed. */
    private static final int MAX_RISE = 1_000;

    private final Map<Refusal, Long> mRefused = new EnumMap<>(Refusal.class);
    private boolean mKnown;
    private volatile int mEra;
    private volatile long mReturns;
    private volatile long mRefusals;

    /** Says why an era is not believed. */
    enum Refusal {
        /** None is named, although one was before. */
        MISSING,
        /** It is over: an answer that was under way when the store came back. */
        LOWER,
        /** It is further on than the store can be. */
        JUMPED
    }

    /** Returns the newest era, or 0. */
    int newest() {
        return mEra;
    }

    /** Returns how often the store has come back since this router's start, as far as it saw. */
    long returns() {
        return mReturns;
    }

    /** Returns how often an era was not believed. */
    long refusals() {
        return mRefusals;
    }

    /** Returns how often an era was not believed, by reason; on the event loop only. */
    Map<String, Long> refused() {
        Map<String, Long> m = new TreeMap<>();
        mRefused.forEach((r, n) -> m.put(r.name().toLowerCase(Locale.ROOT), n));
        return m;
    }

    /**
     * Takes in an era that the store's answer or another router names.
     *
     * @param origin who names it, for the log
     * @return whether what came with it may be used
     */
    boolean accepts(StorePosition position, String origin) {
        int era = position.era();
        if (!mKnown) {
            mKnown = true;
            mEra = era;
            return true;
        }
        if (era < mEra) {
            return refuse(era == 0 ? Refusal.MISSING : Refusal.LOWER, position, origin);
        }
        if (era - mEra > MAX_RISE) {
            return refuse(Refusal.JUMPED, position, origin);
        }
        if (era > mEra) {
            onReturn(position, origin);
        }
        return true;
    }

    private void onReturn(StorePosition position, String origin) {
        Event.always("store_era")
                .with("before", mEra)
                .with("now", position)
                .with("origin", origin)
                .log();
        mReturns++;
        mEra = position.era();
    }

    private boolean refuse(Refusal why, StorePosition position, String origin) {
        mRefused.merge(why, 1L, Long::sum);
        mRefusals++;
        Event.of("store_era_refused")
                .with("why", why)
                .with("named", position)
                .with("newest", mEra)
                .with("origin", origin)
                .log();
        return false;
    }
}
