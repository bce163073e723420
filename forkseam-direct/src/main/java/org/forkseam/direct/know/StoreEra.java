package org.forkseam.direct.know;

import org.forkseam.core.store.StorePosition;
import org.forkseam.direct.log.Event;

import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/**
 * Tracks the newest era of the store from its responses and from other routers' messages. Refuses
 * implausible eras, so that a corrupted message does not make the router ignore all later ones.
 * Updated on the event loop; counters may be read from any thread.
 */
final class StoreEra {
    /**
     * Maximum number of restores that a router may have missed; larger jumps are treated as
     * corruption.
     */
    private static final int MAX_ERA_JUMP = 1_000;

    private final Map<Refusal, Long> mRefused = new EnumMap<>(Refusal.class);
    private boolean mKnown;
    private volatile int mEra;
    private volatile long mRestores;
    private volatile long mRefusals;

    /** Reason to refuse an era. */
    enum Refusal {
        /** No era is given, although one was before. */
        MISSING,
        /** The era has ended: a response was in flight during the restore. */
        LOWER,
        /** The era is implausibly far ahead. */
        JUMPED
    }

    /** Returns the newest era, or 0 if none is known. */
    int newest() {
        return mEra;
    }

    /** Returns the number of restores observed since the start of this router. */
    long restores() {
        return mRestores;
    }

    /** Returns the number of refused eras. */
    long refusals() {
        return mRefusals;
    }

    /** Returns the number of refused eras by reason; only on the event loop. */
    Map<String, Long> refused() {
        Map<String, Long> m = new TreeMap<>();
        mRefused.forEach((r, n) -> m.put(r.name().toLowerCase(Locale.ROOT), n));
        return m;
    }

    /**
     * Checks an era and updates the newest one.
     *
     * @param origin source of the position, for the log
     * @return whether the accompanying data may be used
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
        if (era - mEra > MAX_ERA_JUMP) {
            return refuse(Refusal.JUMPED, position, origin);
        }
        if (era > mEra) {
            onRestore(position, origin);
        }
        return true;
    }

    private void onRestore(StorePosition position, String origin) {
        Event.always("store_era")
                .with("before", mEra)
                .with("now", position)
                .with("origin", origin)
                .log();
        mRestores++;
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
