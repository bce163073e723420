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
 * Stands in for a model engine: batches continuously, keeps prompt prefixes in limited memory,
 * honours priorities, lets streams be resumed and cancelled, and takes orders.
 *
 * <p>What it answers is a function of the prompt alone, so that a test can tell whose answer it
 * holds and whether it is whole. Thread-safe from outside.
 */
public final class EngineStandin {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int DEFAULT_TOKENS = 16;
    private static final String RESPONSES = "/v1/responses/";

    private final StandinServer mServer;
    private final Speed mSpeed;
    private final Faults mFaults = new Faults();
    private final PrefixCache mCache;
    private final boolean mChecksFences;
    private final Map<String, Generation> mGenerations = new HashMap<>();
    private final PriorityQueue<Generation> mWaiting =
            new PriorityQueue<>(
                    Comparator.<Generation>comparingInt(g -> g.mPriority)
                            .thenComparingLong(g -> g.mArrival));
    private final Map<String, AtomicInteger> mRuns = new ConcurrentHashMap<>();
    private final List<String> mOrders = new CopyOnWriteArrayList<>();
    private int mRunning;
    private long mArrivals;
    private long mFence;
    private int mShownLoad;
    private boolean mChanging;
    private JsonNode mState = JSON.createObjectNode();
    private volatile long mOrderMillis = 100;
    private final AtomicInteger mCancelled = new AtomicInteger();
    private volatile int mPeak;
    private final AtomicInteger mLoad = new AtomicInteger();
    private volatile boolean mFrozen;
    private volatile int mBreakAfter = -1;

    /**
     * Says how fast an engine is.
     *
     * @param slots requests it runs at once
     * @param prefillTokensPerMilli tokens of a prompt read in a millisecond
     * @param tokenMillis between two tokens
     * @param cacheTokens tokens of prompts kept
     */
    public record Speed(
            int slots, double prefillTokensPerMilli, long tokenMillis, int cacheTokens) {
        /** Returns a speed for tests that need no delays. */
        public static Speed fast() {
            return new Speed(64, 1e6, 0, 1 << 20);
        }
    }

    private EngineStandin(String name, Speed speed, boolean checksFences) {
        mServer = StandinServer.of(name);
        mSpeed = speed;
        mChecksFences = checksFences;
        mCache = new PrefixCache(speed.cacheTokens() / PrefixCache.BLOCK_TOKENS);
    }

    /** Starts an engine on a free port of the loopback. */
    public static EngineStandin start(String name, Speed speed, boolean checksFences)
            throws InterruptedException, ExecutionException {
        EngineStandin e = new EngineStandin(name, speed, checksFences);
        e.mServer.start(StandinServer.anyPort(), e::serve);
        e.mServer.loop().execute(e::showLoad);
        return e;
    }

    // ---------------------------------------------------------------- for tests

    /** Returns the engine's base URL. */
    public String url() {
        return mServer.url();
    }

    /** Returns the faults: an engine that is down answers chats with 503. */
    public Faults faults() {
        return mFaults;
    }

    /** Returns requests counted, of whatever kind. */
    public int requests() {
        return mFaults.requests();
    }

    /** Crashes the engine: every connection is closed at once. */
    public void kill() throws InterruptedException, ExecutionException {
        mServer.kill();
    }

    /** Ends the engine's thread. */
    public void stop() throws InterruptedException {
        mServer.stop();
    }

    /** Stops the engine from making progress, or lets it go on. */
    public void setFrozen(boolean frozen) {
        mFrozen = frozen;
    }

    /** Sets how long an order takes to take effect. */
    public void setOrderMillis(long millis) {
        mOrderMillis = millis;
    }

    /** Returns the orders taken, the earliest first. */
    public List<String> orders() {
        return List.copyOf(mOrders);
    }

    /** Makes answers break off after so many events; -1 for never. */
    public void setBreakAfter(int events) {
        mBreakAfter = events;
    }

    /** Drops all cached prefixes. */
    public void clearCache() {
        mServer.loop().execute(mCache::clear);
    }

    /** Returns how often the requests of one id were run. */
    public int runs(String requestId) {
        AtomicInteger n = mRuns.get(requestId);
        return n == null ? 0 : n.get();
    }

    /** Returns how often each request id was run. */
    public Map<String, AtomicInteger> allRuns() {
        return mRuns;
    }

    /** Returns requests cancelled. */
    public int cancelled() {
        return mCancelled.get();
    }

    /** Returns requests it has now, running and waiting. */
    public int load() {
        return mLoad.get();
    }

    /** Returns the most requests it had at once. */
    public int peak() {
        return mPeak;
    }

    /** Returns the text that a prompt is answered with. */
    public static String answerTo(String prompt, int tokens) {
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
        mFaults.onRequest();
        String path = http.getPath();
        if (path.equals("/v1/chat/completions")) {
            String id = http.getHeader(HttpHeaders.of("X-Request-Id"));
            return http.loadBody().then(b -> chat(id, JSON.readTree(b.getArray())));
        }
        if (path.startsWith(RESPONSES)) {
            return response(http, path.substring(RESPONSES.length()));
        }
        if (path.equals("/kv/export")) {
            return http.loadBody().then(b -> export(JSON.readTree(b.getArray())));
        }
        if (path.equals("/kv/import")) {
            return http.loadBody().then(b -> take(JSON.readTree(b.getArray())));
        }
        if (path.equals("/v1/orders") && http.getMethod() == HttpMethod.GET) {
            return state();
        }
        if (path.equals("/v1/orders")) {
            return http.loadBody().then(b -> order(JSON.readTree(b.getArray())));
        }
        if (path.equals("/load")) {
            return json(JSON.createObjectNode().put("server_load", mShownLoad));
        }
        if (path.equals("/kv_events")) {
            return events(http.getQueryParameter("after"));
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
            return g.follow(0);
        }
        return g.whole();
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
        return g.follow(Integer.parseInt(http.getQueryParameter("starting_after")));
    }

    /** Takes an order, which takes effect after a while, and tells what the engine runs. */
    private Promise<HttpResponse> order(JsonNode order) {
        long fence = order.path("fence").asLong();
        if (mChecksFences && fence < mFence) {
            return HttpResponse.ofCode(409).toPromise();
        }
        mFence = Math.max(mFence, fence);
        mOrders.add(order.toString());
        mChanging = true;
        mServer.loop()
                .delayBackground(
                        mOrderMillis,
                        () -> {
                            mState = order;
                            mChanging = false;
                        });
        return state();
    }

    private Promise<HttpResponse> state() {
        ObjectNode n = JSON.createObjectNode().put("changing", mChanging);
        for (String part : List.of("model", "adapter", "version", "role")) {
            n.put(part, mState.path(part).asText());
        }
        return json(n);
    }

    /** Gives out the blocks held of a prompt, for another engine to take in. */
    private Promise<HttpResponse> export(JsonNode body) {
        List<Long> blocks = PrefixCache.blocks(body.path("prompt").asText());
        ObjectNode out = JSON.createObjectNode();
        ArrayNode list = out.putArray("blocks");
        blocks.subList(0, mCache.match(blocks)).forEach(list::add);
        return json(out);
    }

    private Promise<HttpResponse> take(JsonNode body) {
        List<Long> blocks = new ArrayList<>();
        body.path("blocks").forEach(b -> blocks.add(b.asLong()));
        mCache.add(blocks);
        return json(JSON.createObjectNode().put("blocks", blocks.size()));
    }

    /** Shows cache events late, and leaves every tenth out. */
    private Promise<HttpResponse> events(String after) {
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

    private void showLoad() {
        mShownLoad = mLoad.get();
        mServer.loop().delayBackground(500, this::showLoad);
    }

    private void changeLoad(int by) {
        mPeak = Math.max(mPeak, mLoad.addAndGet(by));
    }

    private void startNext() {
        while (mRunning < mSpeed.slots() && !mWaiting.isEmpty()) {
            mRunning++;
            mWaiting.poll().prefill();
        }
    }

    /** Is one answer in the making, and afterwards the answer as it is kept for resuming. */
    private final class Generation {
        private final String mKey;
        private final String mPrompt;
        private final int mTokens;
        private final boolean mStream;
        private final boolean mUsage;
        private final int mPriority;
        private final long mTokenMillis;
        private final long mArrival = mArrivals++;
        private final List<byte[]> mEvents = new ArrayList<>();
        private final List<Runnable> mFollowers = new ArrayList<>();
        private int mMade;
        private int mCached;
        private boolean mDone;
        private boolean mStarted;

        Generation(String key, JsonNode body) {
            mKey = key;
            StringBuilder sb = new StringBuilder();
            body.path("messages").forEach(m -> sb.append(m.path("content").asText()));
            mPrompt = sb.toString();
            mTokens = body.path("max_tokens").asInt(DEFAULT_TOKENS);
            mStream = body.path("stream").asBoolean();
            mUsage = body.path("stream_options").path("include_usage").asBoolean();
            mTokenMillis = body.path("speed").asLong(mSpeed.tokenMillis());
            mPriority = body.path("priority").asInt(5);
        }

        void prefill() {
            mStarted = true;
            List<Long> blocks = PrefixCache.blocks(mPrompt);
            int held = mCache.match(blocks);
            mCached = held * PrefixCache.BLOCK_TOKENS;
            mCache.add(blocks);
            int missing = mPrompt.length() / 4 - mCached;
            later((long) (missing / mSpeed.prefillTokensPerMilli()), this::step);
        }

        private void later(long millis, Runnable task) {
            Eventloop loop = mServer.loop();
            if (mFrozen) {
                loop.delayBackground(20, () -> later(millis, task));
            } else if (millis <= 0) {
                loop.post(task);
            } else {
                loop.delayBackground(millis, task);
            }
        }

        private void step() {
            if (mDone) {
                return;
            }
            if (mMade < mTokens) {
                emit(chunk(token(mPrompt, mMade++)));
                later(mTokenMillis, this::step);
                return;
            }
            if (mUsage) {
                emit(usageChunk());
            }
            emit("[DONE]");
            // What was generated stays in memory too, so the next turn finds it.
            mCache.add(PrefixCache.blocks(mPrompt + answerTo(mPrompt, mTokens)));
            end();
        }

        private void end() {
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
            wake();
            startNext();
            mServer.loop().delayBackground(30_000, () -> mGenerations.remove(mKey, this));
        }

        void cancel() {
            if (!mDone) {
                mCancelled.incrementAndGet();
                end();
            }
        }

        private void emit(String data) {
            mEvents.add(("data: " + data + "\n\n").getBytes(StandardCharsets.UTF_8));
            wake();
        }

        private void wake() {
            List<Runnable> f = List.copyOf(mFollowers);
            mFollowers.clear();
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
            u.put("prompt_tokens", mPrompt.length() / 4).put("completion_tokens", mMade);
            u.putObject("prompt_tokens_details").put("cached_tokens", mCached);
            return u;
        }

        private String usageChunk() {
            ObjectNode n = JSON.createObjectNode().put("id", mKey);
            n.putArray("choices");
            n.set("usage", usage());
            return n.toString();
        }

        Promise<HttpResponse> follow(int from) {
            int[] next = {from};
            return HttpResponse.ok200()
                    .withHeader(HttpHeaders.CONTENT_TYPE, "text/event-stream")
                    .withBodyStream(ChannelSuppliers.ofAsyncSupplier(() -> event(next)))
                    .toPromise();
        }

        private Promise<ByteBuf> event(int[] next) {
            if (mBreakAfter >= 0 && next[0] >= mBreakAfter) {
                return Promise.ofException(new IOException("broken off by the test"));
            }
            if (next[0] < mEvents.size()) {
                return Promise.of(ByteBuf.wrapForReading(mEvents.get(next[0]++)));
            }
            if (mDone) {
                return Promise.of(null);
            }
            SettablePromise<ByteBuf> later = new SettablePromise<>();
            mFollowers.add(() -> event(next).subscribe(later::trySet));
            return later;
        }

        Promise<HttpResponse> whole() {
            SettablePromise<HttpResponse> answer = new SettablePromise<>();
            waitForEnd(answer);
            return answer;
        }

        private void waitForEnd(SettablePromise<HttpResponse> answer) {
            if (!mDone) {
                mFollowers.add(() -> waitForEnd(answer));
                return;
            }
            ObjectNode n = JSON.createObjectNode().put("id", mKey);
            n.put("object", "chat.completion");
            ObjectNode choice = n.putArray("choices").addObject().put("index", 0);
            choice.put("finish_reason", "stop");
            choice.putObject("message")
                    .put("role", "assistant")
                    .put("content", answerTo(mPrompt, mMade));
            n.set("usage", usage());
            answer.set(HttpResponse.ok200().withJson(n.toString()).build());
        }
    }
}
