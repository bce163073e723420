package org.forkseam.daemon.sidecar;

import com.fasterxml.jackson.databind.JsonNode;

import io.activej.eventloop.Eventloop;
import io.activej.http.HttpMethod;

import org.forkseam.core.util.BoundedMap;
import org.forkseam.core.util.Clock;
import org.forkseam.daemon.share.Ticker;
import org.forkseam.platform.http.PlatformHttpClient;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import java.io.IOException;
import java.util.Map;

/**
 * Learns from an engine's cache events how long it keeps a prefix.
 *
 * <p>Events come late and with gaps: a block whose storing was missed is ignored when it goes, and
 * one whose going was missed is forgotten when the memory of it is full. The lifetime counts from
 * when a block was stored, which is longer than from its last use; what answers say was really
 * reused corrects that. Used on the event loop.
 *
 * @since 0.1
 */
public final class CacheWatch {
    private static final Logger LOG = LoggerFactory.getLogger(CacheWatch.class);
    private static final int BLOCKS_KEPT = 20_000;
    private static final long POLL_MILLIS = 2_000;
    private static final long PAUSE_MILLIS = 60_000;
    private static final double SMOOTHING = 0.02;

    private final PlatformHttpClient mHttp;
    private final String mUrl;
    private final Clock mClock;
    private final Ticker mTicker;
    private final Map<String, Long> mStoredAt = BoundedMap.byInsertion(BLOCKS_KEPT);
    private long mNext;
    private double mLifetimeMillis;
    private long mDelayMillis = POLL_MILLIS;

    private CacheWatch(Eventloop loop, PlatformHttpClient http, String url, Clock clock) {
        mHttp = http;
        mUrl = url;
        mClock = clock;
        mTicker = Ticker.of(loop, () -> mDelayMillis, this::poll);
    }

    /** Creates the watch of an engine at a base URL. */
    public static CacheWatch of(Eventloop loop, PlatformHttpClient http, String url, Clock clock) {
        return new CacheWatch(loop, http, url, clock);
    }

    /** Starts reading events. */
    public void start() {
        mTicker.start();
    }

    /** Stops reading events. */
    public void stop() {
        mTicker.stop();
    }

    /** Returns how long a prefix is kept, or 0 if not known. */
    public long lifetimeMillis() {
        return (long) mLifetimeMillis;
    }

    private void poll() {
        mHttp.send("engine", HttpMethod.GET, mUrl + "/kv_events?after=" + mNext, null)
                .whenComplete(
                        (a, e) -> {
                            boolean ok = e == null && a.status() == 200;
                            mDelayMillis = ok ? POLL_MILLIS : PAUSE_MILLIS;
                            if (ok) {
                                read(a.body());
                            }
                        });
    }

    private void read(byte[] body) {
        try {
            for (JsonNode n : PlatformHttpClient.JSON.readTree(body).path("events")) {
                onEvent(n.asText().split(" "));
            }
        } catch (IOException e) {
            LOG.warn("event=cache-events-unreadable url={} cause=\"{}\"", mUrl, e.getMessage());
        }
    }

    /** Takes in one event: its number, what happened, and to which block. */
    void onEvent(String[] event) {
        if (event.length != 3) {
            return;
        }
        mNext = Math.max(mNext, Long.parseLong(event[0]) + 1);
        if (event[1].equals("stored")) {
            mStoredAt.put(event[2], mClock.nowMillis());
            return;
        }
        Long at = mStoredAt.remove(event[2]);
        if (at != null) {
            double lived = mClock.nowMillis() - at;
            mLifetimeMillis =
                    mLifetimeMillis == 0
                            ? lived
                            : mLifetimeMillis + SMOOTHING * (lived - mLifetimeMillis);
        }
    }
}
