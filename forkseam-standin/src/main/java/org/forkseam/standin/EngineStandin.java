package org.forkseam.standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

import io.activej.bytebuf.ByteBuf;
import io.activej.csp.supplier.ChannelSuppliers;
import io.activej.eventloop.Eventloop;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpMethod;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Test double of a model engine with continuous batching, a bounded prefix cache, priorities,
 * resumable and cancellable streams, and model orders.
 *
 * <p>The response depends on the prompt alone, so tests can verify that it belongs to the request
 * and is complete. Public methods are thread-safe.
 */
public final class EngineStandin {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int DEFAULT_TOKENS = 16;
    private static final String RESPONSES = "/v1/responses/";

    private final StandinServer mServer;
    private final Speed mSpeed;
    private final FaultInjection mFaults = new FaultInjection();
    private final PrefixCache mCache;
    private final boolean mChecksFencingTokens;
    private final Map<String, Generation> mGenerations = new HashMap<>();
    private final PriorityQueue<Generation> mWaiting =
            new PriorityQueue<>(
                    Comparator.<Generation>comparingInt(g -> g.mPriority)
                            .thenComparingLong(g -> g.mArrival));
    private final Map<String, AtomicInteger> mRuns = new ConcurrentHashMap<>();
    private final List<String> mOrders = new CopyOnWriteArrayList<>();
    private int mRunning;
    private long mArrivals;
    private long mLastFencingToken;
    private int mReportedLoad;
    private boolean mOrderPending;
    private JsonNode mState = JSON.createObjectNode();
    private volatile long mOrderDelayMillis = 100;
    private final AtomicInteger mCancelled = new AtomicInteger();
    private volatile int mPeakLoad;
    private final AtomicInteger mLoad = new AtomicInteger();
    private volatile boolean mFrozen;
    private volatile int mAbortAfterEvents = -1;

    /**
     * Performance of an engine.
     *
     * @param slots maximum number of concurrently running requests
     * @param prefillTokensPerMilli prompt tokens processed per millisecond
     * @param tokenMillis time between two generated tokens
     * @param cacheTokens capacity of the prefix cache in tokens
     */
    public record Speed(
            int slots, double prefillTokensPerMilli, long tokenMillis, int cacheTokens) {
        /** Returns a speed without delays. */
        public static Speed fast() {
            return new Speed(64, 1e6, 0, 1 << 20);
        }
    }

    private EngineStandin(String name, Speed speed, boolean checksFences) {
        mServer = StandinServer.of(name);
        mSpeed = speed;
        mChecksFencingTokens = checksFences;
        mCache = new PrefixCache(speed.cacheTokens() / PrefixCache.BLOCK_TOKENS);
    }

    /** Starts an engine on a free loopback port. */
    public static EngineStandin start(String name, Speed speed, boolean checksFences)
            throws InterruptedException, ExecutionException {
        EngineStandin e = new EngineStandin(name, speed, checksFences);
        e.mServer.start(StandinServer.freeLoopbackPort(), e::serve);
        e.mServer.loop().execute(e::publishLoad);
        return e;
    }

    // ---------------------------------------------------------------- test controls

    /** Returns the engine's base URL. */
    public String url() {
        return mServer.url();
    }

    /** Returns the fault injection; a down engine answers chats with 503. */
    public FaultInjection faults() {
        return mFaults;
    }

    /** Returns the number of requests of any kind received. */
    public int requests() {
        return mFaults.requests();
    }

    /** Simulates a crash: closes every connection and stops listening. */
    public void kill() throws InterruptedException, ExecutionException {
        mServer.kill();
    }

    /** Stops the server and its thread. */
    public void stop() throws InterruptedException {
        mServer.stop();
    }

    /** Suspends or resumes the generation of tokens. */
    public void setFrozen(boolean frozen) {
        mFrozen = frozen;
    }

    /** Sets the time until an order takes effect. */
    public void setOrderDelayMillis(long millis) {
        mOrderDelayMillis = millis;
    }

    /** Returns the accepted orders, oldest first. */
    public List<String> orders() {
        return List.copyOf(mOrders);
    }

    /** Aborts streams after the given number of events; -1 for never. */
    public void setAbortAfterEvents(int events) {
        mAbortAfterEvents = events;
    }

    /** Clears the prefix cache. */
    public void clearCache() {
        mServer.loop().execute(mCache::clear);
    }

    /** Returns the number of executions of a request id. */
    public int runs(String requestId) {
        AtomicInteger n = mRuns.get(requestId);
        return n == null ? 0 : n.get();
    }

    /** Returns the number of executions by request id. */
    public Map<String, AtomicInteger> allRuns() {
        return mRuns;
    }

    /** Returns the number of cancelled requests. */
    public int cancelled() {
        return mCancelled.get();
    }

    /** Returns the number of running and queued requests. */
    public int load() {
        return mLoad.get();
    }

    /** Returns the maximum of {@link #load} so far. */
    public int peakLoad() {
        return mPeakLoad;
    }

    /** Returns the text generated for a prompt. */
    public static String expectedAnswer(String prompt, int tokens) {
        StringBuilder sb = new StringBuilder();
        for (int i = 0; i < tokens; i++) {
            sb.append(token(prompt, i));
        }
        return sb.toString();
    }

    private static String token(String prompt, int i) {
        return Integer.toString(Math.floorMod(prompt.hashCode() * 31 + i * 7919, 9973), 36) + " ";
    }

    // ---------------------------------------------------------------- serving

    private Promise<HttpResponse> serve(HttpRequest http) {
        mFaults.countRequest();
        String path = http.getPath();
        if (path.equals("/v1/chat/completions")) {
            String id = http.getHeader(HttpHeaders.of("X-Request-Id"));
            return http.loadBody().then(b -> chat(id, JSON.readTree(b.getArray())));
        }
        if (path.startsWith(RESPONSES)) {
            return response(http, path.substring(RESPONSES.length()));
        }
        if (path.equals("/kv/export")) {
            return http.loadBody().then(b -> exportBlocks(JSON.readTree(b.getArray())));
        }
        if (path.equals("/kv/import")) {
            return http.loadBody().then(b -> importBlocks(JSON.readTree(b.getArray())));
        }
        if (path.equals("/v1/orders") && http.getMethod() == HttpMethod.GET) {
            return state();
        }
        if (path.equals("/v1/orders")) {
            return http.loadBody().then(b -> order(JSON.readTree(b.getArray())));
        }
        if (path.equals("/load")) {
            return json(JSON.createObjectNode().put("server_load", mReportedLoad));
        }
        if (path.equals("/kv_events")) {
            return cacheEvents(http.getQueryParameter("after"));
        }
        return HttpResponse.notFound404().toPromise();
    }

    private Promise<HttpResponse> chat(String id, JsonNode body) {
        if (mFaults.isDown()) {
            return HttpResponse.ofCode(503).toPromise();
        }
        String key = id == null ? "local-" + mArrivals : id;
        String request = key.contains(":") ? key.substring(0, key.indexOf(':')) : key;
        mRuns.computeIfAbsent(request, k -> new AtomicInteger()).incrementAndGet();
        Generation g = new Generation(key, body);
        mGenerations.put(key, g);
        mWaiting.add(g);
        changeLoad(1);
        startNext();
        if (g.mStream) {
            return g.streamEvents(0);
        }
        return g.completeResponse();
    }

    private Promise<HttpResponse> response(HttpRequest http, String rest) {
        int slash = rest.indexOf('/');
        Generation g = mGenerations.get(slash < 0 ? rest : rest.substring(0, slash));
        if (g == null) {
            return HttpResponse.notFound404().toPromise();
        }
        if (slash >= 0) {
            g.cancel();
            return HttpResponse.ok200().toPromise();
        }
        return g.streamEvents(Integer.parseInt(http.getQueryParameter("starting_after")));
    }

    /** Accepts an order, to take effect after a delay, and returns the engine's current state. */
    private Promise<HttpResponse> order(JsonNode order) {
        long fence = order.path("fence").asLong();
        if (mChecksFencingTokens && fence < mLastFencingToken) {
            return HttpResponse.ofCode(409).toPromise();
        }
        mLastFencingToken = Math.max(mLastFencingToken, fence);
        mOrders.add(order.toString());
        mOrderPending = true;
        mServer.loop()
                .delayBackground(
                        mOrderDelayMillis,
                        () -> {
                            mState = order;
                            mOrderPending = false;
                        });
        return state();
    }

    private Promise<HttpResponse> state() {
        ObjectNode n = JSON.createObjectNode().put("changing", mOrderPending);
        for (String part : List.of("model", "adapter", "version", "role")) {
            n.put(part, mState.path(part).asText());
        }
        return json(n);
    }

    /** Exports the cached blocks of a prompt for import by another engine. */
    private Promise<HttpResponse> exportBlocks(JsonNode body) {
        List<Long> blocks = PrefixCache.blocks(body.path("prompt").asText());
        ObjectNode out = JSON.createObjectNode();
        ArrayNode list = out.putArray("blocks");
        blocks.subList(0, mCache.match(blocks)).forEach(list::add);
        return json(out);
    }

    private Promise<HttpResponse> importBlocks(JsonNode body) {
        List<Long> blocks = new ArrayList<>();
        body.path("blocks").forEach(b -> blocks.add(b.asLong()));
        mCache.add(blocks);
        return json(JSON.createObjectNode().put("blocks", blocks.size()));
    }

    /** Returns the cache events, lagging by eight events and with every tenth one missing. */
    private Promise<HttpResponse> cacheEvents(String after) {
        int from = after == null ? 0 : Integer.parseInt(after);
        ObjectNode out = JSON.createObjectNode();
        ArrayNode list = out.putArray("events");
        int shown = Math.max(0, mCache.events().size() - 8);
        for (int i = from; i < shown; i++) {
            if (i % 10 != 9) {
                list.add(i + " " + mCache.events().get(i));
            }
        }
        return json(out);
    }

    private static Promise<HttpResponse> json(JsonNode node) {
        return HttpResponse.ok200().withJson(node.toString()).toPromise();
    }

    private void publishLoad() {
        mReportedLoad = mLoad.get();
        mServer.loop().delayBackground(500, this::publishLoad);
    }

    private void changeLoad(int by) {
        mPeakLoad = Math.max(mPeakLoad, mLoad.addAndGet(by));
    }

    private void startNext() {
        while (mRunning < mSpeed.slots() && !mWaiting.isEmpty()) {
            mRunning++;
            mWaiting.poll().prefill();
        }
    }

    /** A running or completed generation; completed ones are retained for resuming streams. */
    private final class Generation {
        private final String mKey;
        private final String mPrompt;
        private final int mMaxTokens;
        private final boolean mStream;
        private final boolean mIncludeUsage;
        private final int mPriority;
        private final long mTokenMillis;
        private final long mArrival = mArrivals++;
        private final List<byte[]> mEvents = new ArrayList<>();
        private final List<Runnable> mEventListeners = new ArrayList<>();
        private int mGeneratedTokens;
        private int mCachedTokens;
        private boolean mDone;
        private boolean mStarted;

        Generation(String key, JsonNode body) {
            mKey = key;
            StringBuilder sb = new StringBuilder();
            body.path("messages").forEach(m -> sb.append(m.path("content").asText()));
            mPrompt = sb.toString();
            mMaxTokens = body.path("max_tokens").asInt(DEFAULT_TOKENS);
            mStream = body.path("stream").asBoolean();
            mIncludeUsage = body.path("stream_options").path("include_usage").asBoolean();
            mTokenMillis = body.path("speed").asLong(mSpeed.tokenMillis());
            mPriority = body.path("priority").asInt(5);
        }

        void prefill() {
            mStarted = true;
            List<Long> blocks = PrefixCache.blocks(mPrompt);
            int held = mCache.match(blocks);
            mCachedTokens = held * PrefixCache.BLOCK_TOKENS;
            mCache.add(blocks);
            int missing = mPrompt.length() / 4 - mCachedTokens;
            schedule((long) (missing / mSpeed.prefillTokensPerMilli()), this::generateNextToken);
        }

        private void schedule(long millis, Runnable task) {
            Eventloop loop = mServer.loop();
            if (mFrozen) {
                loop.delayBackground(20, () -> schedule(millis, task));
            } else if (millis <= 0) {
                loop.post(task);
            } else {
                loop.delayBackground(millis, task);
            }
        }

        private void generateNextToken() {
            if (mDone) {
                return;
            }
            if (mGeneratedTokens < mMaxTokens) {
                emit(chunk(token(mPrompt, mGeneratedTokens++)));
                schedule(mTokenMillis, this::generateNextToken);
                return;
            }
            if (mIncludeUsage) {
                emit(usageChunk());
            }
            emit("[DONE]");
            // Caches the generated text too, which is part of the next turn's prompt.
            mCache.add(PrefixCache.blocks(mPrompt + expectedAnswer(mPrompt, mMaxTokens)));
            finish();
        }

        private void finish() {
            if (mDone) {
                return;
            }
            mDone = true;
            if (mStarted) {
                mRunning--;
            } else {
                mWaiting.remove(this);
            }
            changeLoad(-1);
            notifyListeners();
            startNext();
            mServer.loop().delayBackground(30_000, () -> mGenerations.remove(mKey, this));
        }

        void cancel() {
            if (!mDone) {
                mCancelled.incrementAndGet();
                finish();
            }
        }

        private void emit(String data) {
            mEvents.add(("data: " + data + "\n\n").getBytes(StandardCharsets.UTF_8));
            notifyListeners();
        }

        private void notifyListeners() {
            List<Runnable> f = List.copyOf(mEventListeners);
            mEventListeners.clear();
            f.forEach(Runnable::run);
        }

        private String chunk(String text) {
            ObjectNode n = JSON.createObjectNode().put("id", mKey);
            n.put("object", "chat.completion.chunk");
            n.putArray("choices")
                    .addObject()
                    .put("index", 0)
                    .putObject("delta")
                    .put("content", text);
            return n.toString();
        }

        private ObjectNode usage() {
            ObjectNode u = JSON.createObjectNode();
            u.put("prompt_tokens", mPrompt.length() / 4).put("completion_tokens", mGeneratedTokens);
            u.putObject("prompt_tokens_details").put("cached_tokens", mCachedTokens);
            return u;
        }

        private String usageChunk() {
            ObjectNode n = JSON.createObjectNode().put("id", mKey);
            n.putArray("choices");
            n.set("usage", usage());
            return n.toString();
        }

        Promise<HttpResponse> streamEvents(int from) {
            int[] next = {from};
            return HttpResponse.ok200()
                    .withHeader(HttpHeaders.CONTENT_TYPE, "text/event-stream")
                    .withBodyStream(ChannelSuppliers.ofAsyncSupplier(() -> nextEvent(next)))
                    .toPromise();
        }

        private Promise<ByteBuf> nextEvent(int[] next) {
            if (mAbortAfterEvents >= 0 && next[0] >= mAbortAfterEvents) {
                return Promise.ofException(new IOException("stream aborted by fault injection"));
            }
            if (next[0] < mEvents.size()) {
                return Promise.of(ByteBuf.wrapForReading(mEvents.get(next[0]++)));
            }
            if (mDone) {
                return Promise.of(null);
            }
            SettablePromise<ByteBuf> later = new SettablePromise<>();
            mEventListeners.add(() -> nextEvent(next).subscribe(later::trySet));
            return later;
        }

        Promise<HttpResponse> completeResponse() {
            SettablePromise<HttpResponse> answer = new SettablePromise<>();
            respondWhenDone(answer);
            return answer;
        }

        private void respondWhenDone(SettablePromise<HttpResponse> answer) {
            if (!mDone) {
                mEventListeners.add(() -> respondWhenDone(answer));
                return;
            }
            ObjectNode n = JSON.createObjectNode().put("id", mKey);
            n.put("object", "chat.completion");
            ObjectNode choice = n.putArray("choices").addObject().put("index", 0);
            choice.put("finish_reason", "stop");
            choice.putObject("message")
                    .put("role", "assistant")
                    .put("content", expectedAnswer(mPrompt, mGeneratedTokens));
            n.set("usage", usage());
            answer.set(HttpResponse.ok200().withJson(n.toString()).build());
        }
    }
}
