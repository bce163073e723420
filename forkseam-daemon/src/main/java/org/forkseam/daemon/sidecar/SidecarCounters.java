package org.forkseam.daemon.sidecar;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;

import org.forkseam.core.outcome.RefusalReason;

import java.util.LinkedHashMap;
import java.util.Map;

/** Metrics of a sidecar. */
public final class SidecarCounters {
    private final MeterRegistry mRegistry;
    private final Counter mServed;
    private final Counter mJoined;
    private final Counter mResumed;
    private final Counter mReplayed;
    private final Counter mPromptTokens;
    private final Counter mCachedTokens;

    private SidecarCounters(MeterRegistry registry) {
        mRegistry = registry;
        mServed = registry.counter("forkseam.sidecar.served");
        mJoined = registry.counter("forkseam.sidecar.joined");
        mResumed = registry.counter("forkseam.sidecar.resumed");
        mReplayed = registry.counter("forkseam.sidecar.replayed");
        mPromptTokens = registry.counter("forkseam.sidecar.prompt.tokens");
        mCachedTokens = registry.counter("forkseam.sidecar.cached.tokens");
    }

    /** Creates counters in a registry. */
    public static SidecarCounters of(MeterRegistry registry) {
        return new SidecarCounters(registry);
    }

    void onServed(TokenUsage usage) {
        mServed.increment();
        mPromptTokens.increment(usage.promptTokens());
        mCachedTokens.increment(usage.cachedTokens());
    }

    void onRefused(RefusalReason reason) {
        mRegistry.counter("forkseam.sidecar.refused", "reason", reason.name()).increment();
    }

    void onClaim(String step) {
        mRegistry.counter("forkseam.sidecar.claims", "step", step).increment();
    }

    void onJoined() {
        mJoined.increment();
    }

    void onResumed() {
        mResumed.increment();
    }

    void onReplayed() {
        mReplayed.increment();
    }

    Map<String, Object> dump() {
        Map<String, Object> m = new LinkedHashMap<>();
        m.put("served", mServed.count());
        m.put("joined", mJoined.count());
        m.put("resumed", mResumed.count());
        m.put("replayed", mReplayed.count());
        m.put("prompt_tokens", mPromptTokens.count());
        m.put("cached_tokens", mCachedTokens.count());
        return m;
    }
}
