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
 * Estimates from an engine's KV cache events how long it keeps a prefix.
 *
 * <p>Events may be late or missing: the removal of an untracked block is ignored, and the oldest
 * tracked blocks are evicted when the map is full. Lifetimes are measured from when a block was
 * stored rather than last used, so this is an overestimate; the cached-token counts in responses
 * compensate for it. Not thread-safe; used on the event loop.
 *
 * @since 0.1
 */
public final class CacheLifetimeEstimator {
    private static final Logger LOG = LoggerFactory.getLogger(CacheLifetimeEstimator.class);
    private static final int MAX_TRACKED_BLOCKS = 20_000;
    private static final long POLL_INTERVAL_MILLIS = 2_000;
    private static final long ERROR_BACKOFF_MILLIS = 60_000;
    private static final double SMOOTHING_FACTOR = 0.02;

    private final PlatformHttpClient mHttp;
    private final String mUrl;
    private final Clock mClock;
    private final Ticker mTicker;
    private final Map<String, Long> mStoredAtMillis = BoundedMap.byInsertion(MAX_TRACKED_BLOCKS);
    private long mNextEventNumber;
    private double mLifetimeMillis;
    private long mPollDelayMillis = POLL_INTERVAL_MILLIS;

    private CacheLifetimeEstimator(
            Eventloop loop, PlatformHttpClient http, String url, Clock clock) {
        mHttp = http;
        mUrl = url;
        mClock = clock;
        mTicker = Ticker.of(loop, () -> mPollDelayMillis, this::poll);
    }

    /** Creates the estimator for the engine at a base URL. */
    public static CacheLifetimeEstimator of(
            Eventloop loop, PlatformHttpClient http, String url, Clock clock) {
        return new CacheLifetimeEstimator(loop, http, url, clock);
    }

    /** Starts polling for events. */
    public void start() {
        mTicker.start();
    }

    /** Stops polling for events. */
    public void stop() {
        mTicker.stop();
    }

    /** Returns the estimated lifetime of a cached prefix, or 0 if unknown. */
    public long lifetimeMillis() {
        return (long) mLifetimeMillis;
    }

    private void poll() {
        mHttp.send("engine", HttpMethod.GET, mUrl + "/kv_events?after=" + mNextEventNumber, null)
                .whenComplete(
                        (a, e) -> {
                            boolean ok = e == null && a.status() == 200;
                            mPollDelayMillis = ok ? POLL_INTERVAL_MILLIS : ERROR_BACKOFF_MILLIS;
                            if (ok) {
                                parseEvents(a.body());
                            }
                        });
    }

    private void parseEvents(byte[] body) {
        try {
            for (JsonNode n : PlatformHttpClient.JSON.readTree(body).path("events")) {
                onEvent(n.asText().split(" "));
            }
        } catch (IOException e) {
            LOG.warn("event=cache-events-unreadable url={} cause=\"{}\"", mUrl, e.getMessage());
        }
    }

    /** Processes one event: its sequence number, its type and the block's hash. */
    void onEvent(String[] event) {
        if (event.length != 3) {
            return;
        }
        mNextEventNumber = Math.max(mNextEventNumber, Long.parseLong(event[0]) + 1);
        if (event[1].equals("stored")) {
            mStoredAtMillis.put(event[2], mClock.nowMillis());
            return;
        }
        Long at = mStoredAtMillis.remove(event[2]);
        if (at != null) {
            double lifetime = mClock.nowMillis() - at;
            mLifetimeMillis =
                    mLifetimeMillis == 0
                            ? lifetime
                            : mLifetimeMillis + SMOOTHING_FACTOR * (lifetime - mLifetimeMillis);
        }
    }
}
