package org.forkseam.bench;

import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;
import org.forkseam.daemon.Daemon;
import org.forkseam.standin.EngineStandin;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/** Replays a trace on a local fleet with one placement and collects the results. Not reusable. */
final class Experiment {
    private static final int MAX_TURNS = 8;
    private static final long SAMPLE_MILLIS = 20;
    private static final long RAMP_UP_MILLIS = 2_000;
    private static final String MODEL = "lm";
    private static final EngineStandin.Speed SPEED = new EngineStandin.Speed(32, 8, 20, 48_000);

    /**
     * Parameters of an experiment.
     *
     * @param deployment {@code ertis} or {@code association}
     * @param condition {@code quiet}, {@code surge}, {@code churn} or {@code outage}
     * @param placement name of the placement
     * @param shape parameters of the trace
     * @param seed seed of the trace
     */
    record Plan(
            String deployment, String condition, String placement, Trace.Shape shape, long seed) {}

    private final Plan mPlan;
    private final LocalFleet mFleet;
    private final List<Daemon> mRouters = new ArrayList<>();
    private final RouterClient mClient = new RouterClient();
    private final Map<Integer, Chat> mChats = new ConcurrentHashMap<>();
    private final Histogram mTimeToFirstToken = new ConcurrentHistogram(60_000, 3);
    private final Histogram mNonSurgingTimeToFirstToken = new ConcurrentHistogram(60_000, 3);
    private final Histogram mLoadSkew = new Histogram(100_000, 3);
    private final AtomicLong mPromptTokens = new AtomicLong();
    private final AtomicLong mReusedTokens = new AtomicLong();
    private final AtomicLong mIdealTokens = new AtomicLong();
    private final AtomicInteger mAnswered = new AtomicInteger();
    private final AtomicInteger mLost = new AtomicInteger();
    private final AtomicInteger mMayHaveRun = new AtomicInteger();
    private final AtomicInteger mFalseNotRun = new AtomicInteger();
    private final Map<String, AtomicInteger> mRefused = new ConcurrentHashMap<>();
    private final Set<String> mNotRunIds = ConcurrentHashMap.newKeySet();
    private final Set<String> mSystemPromptsSeen = ConcurrentHashMap.newKeySet();
    private volatile boolean mSampling = true;
    private volatile boolean mPastRampUp;

    /** Client-side state of a chat. */
    private static final class Chat {
        final List<RouterClient.Message> mMessages = new ArrayList<>();
        String mTicket = "";
        int mReusableTokens;
        int mRestarts;
    }

    private Experiment(Plan plan, LocalFleet fleet) {
        mPlan = plan;
        mFleet = fleet;
    }

    /** Runs an experiment and returns the results by name. */
    static Map<String, Object> run(Plan plan) throws Exception {
        try (LocalFleet fleet = LocalFleet.start(plan.seed())) {
            return new Experiment(plan, fleet).run();
        }
    }

    // ---------------------------------------------------------------- set-up

    private Map<String, Object> run() throws Exception {
        boolean ertis = mPlan.deployment().equals("ertis");
        String[] domains =
                ertis
                        ? new String[] {"hall-a", "hall-b", "hall-c", "hall-d"}
                        : new String[] {"rennes-a", "brest-b", "vannes-c"};
        for (int i = 0; i < 4; i++) {
            mRouters.add(mFleet.addRouter("entry-" + i, domains[i % 3], mPlan.placement()));
        }
        for (int i = 0; i < 12; i++) {
            mFleet.addEngine(engineName(i), domains[i % domains.length], MODEL, SPEED);
        }
        for (int i = 0; i < (ertis ? 4 : 3); i++) {
            mFleet.addService("svc-" + i, domains[i % domains.length], "svc", 32);
        }
        CliRunner cli = CliRunner.of(mRouters.get(0));
        int targets = 12 + (ertis ? 4 : 3);
        Await.until(
                "targets seen",
                () -> cli.run("get", "targets").out().lines().count() == targets + 1);
        cli.apply(config(ertis));
        mFleet.waitForConfig(1);
        replayTrace();
        return results();
    }

    private static String engineName(int i) {
        return "lm-%02d".formatted(i);
    }

    private static String config(boolean ertis) {
        return """
        [pool lm]
        selector = model=lm
        prefer = %s
        max-load-multiple = %s
        [pool svc]
        selector = service=svc
        max-load-multiple = 2
        [intent chats]
        selector = kind=chat
        pool = lm
        [intent calls]
        selector = kind=service
        pool = svc
        """
                .formatted(ertis ? "skew" : "reuse", ertis ? "1.25" : "1.5");
    }

    // ---------------------------------------------------------------- replay

    private void replayTrace() throws Exception {
        List<Trace.Request> trace = Trace.of(mPlan.shape(), mPlan.seed());
        Thread sampler = new Thread(this::sample, "sampler");
        sampler.start();
        Thread faults = new Thread(this::injectFaults, "faults");
        faults.start();
        ExecutorService executor = Executors.newCachedThreadPool();
        long start = System.currentTimeMillis();
        int n = 0;
        for (Trace.Request r : trace) {
            long wait = start + r.atMillis() - System.currentTimeMillis();
            if (wait > 0) {
                Thread.sleep(wait);
            }
            mPastRampUp = r.atMillis() > RAMP_UP_MILLIS;
            int id = n++;
            executor.execute(() -> send(r, id));
        }
        mPastRampUp = false;
        executor.shutdown();
        executor.awaitTermination(60, TimeUnit.SECONDS);
        mSampling = false;
        sampler.join();
        faults.join();
    }

    private void send(Trace.Request r, int n) {
        InetSocketAddress router = mRouters.get(n % mRouters.size()).callersAddress();
        try {
            if (r.chat() < 0) {
                call(router, r, n);
            } else {
                chat(router, r, n);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void call(InetSocketAddress router, Trace.Request r, int n)
            throws InterruptedException {
        String id = "q" + n;
        Map<String, String> h = new HashMap<>(Map.of("Team", r.team(), "Request-Id", id));
        if (r.unrepeatable()) {
            h.put("Unrepeatable", "true");
        }
        RouterClient.Response a = mClient.send(router, "POST", "/services/svc/do/" + n, "b" + n, h);
        recordOutcome(a, id, a.text().endsWith("b" + n));
    }

    private void chat(InetSocketAddress router, Trace.Request r, int n)
            throws InterruptedException {
        Chat c = mChats.computeIfAbsent(r.chat(), k -> new Chat());
        synchronized (c) {
            // Restarts the chat after MAX_TURNS turns.
            if (c.mMessages.size() >= 2 * MAX_TURNS) {
                c.mMessages.clear();
                c.mRestarts++;
                c.mTicket = "";
                c.mReusableTokens = 0;
            }
            if (c.mMessages.isEmpty()) {
                c.mMessages.add(Trace.systemPrompt("team-" + r.chat() % mPlan.shape().teams()));
            }
            c.mMessages.add(Trace.userPrompt(r.chat(), r.turn()));
            String id = "q" + n;
            Map<String, String> h = new HashMap<>(Map.of("Team", r.team(), "Request-Id", id));
            h.put("Chat-Id", "chat-" + r.chat() + "-" + c.mRestarts);
            if (!c.mTicket.isEmpty()) {
                h.put("Ticket", c.mTicket);
            }
            String body = RouterClient.chatBody(MODEL, c.mMessages, r.tokens(), true);
            RouterClient.TimedResponse t = mClient.chatTimed(router, body, h);
            String prompt = prompt(c.mMessages);
            boolean right =
                    t.response().text().equals(EngineStandin.expectedAnswer(prompt, r.tokens()));
            recordOutcome(t.response(), id, right && t.response().complete());
            if (t.response().status() == 200 && t.response().complete()) {
                recordCompleted(r, c, t, prompt);
            } else {
                c.mMessages.remove(c.mMessages.size() - 1);
            }
        }
    }

    private static String prompt(List<RouterClient.Message> messages) {
        StringBuilder sb = new StringBuilder();
        messages.forEach(m -> sb.append(m.content()));
        return sb.toString();
    }

    private void recordCompleted(
            Trace.Request r, Chat c, RouterClient.TimedResponse t, String prompt) {
        mTimeToFirstToken.recordValue(Math.min(60_000, t.firstLineMillis()));
        if (!r.team().equals("team-0") && !r.team().equals("team-1")) {
            mNonSurgingTimeToFirstToken.recordValue(Math.min(60_000, t.firstLineMillis()));
        }
        int tokens = prompt.length() / 4;
        int shared = mSystemPromptsSeen.add(c.mMessages.get(0).content()) ? 0 : 400;
        mPromptTokens.addAndGet(tokens);
        mIdealTokens.addAndGet(Math.min(tokens, Math.max(c.mReusableTokens, shared)));
        c.mMessages.add(new RouterClient.Message("assistant", t.response().text()));
        c.mReusableTokens = (prompt.length() + t.response().text().length()) / 4;
        c.mTicket = t.response().header("ticket");
    }

    private void recordOutcome(RouterClient.Response a, String id, boolean right) {
        if (a.status() == 200 && right) {
            mAnswered.incrementAndGet();
            return;
        }
        String outcome = a.header("outcome");
        if (outcome.equals("not-run")) {
            mNotRunIds.add(id);
            mRefused.computeIfAbsent(errorCode(a), k -> new AtomicInteger()).incrementAndGet();
        } else if (outcome.equals("may-have-run") || outcome.equals("failed")) {
            mMayHaveRun.incrementAndGet();
        } else {
            mLost.incrementAndGet();
        }
    }

    private static String errorCode(RouterClient.Response a) {
        int at = a.text().indexOf("\"code\":\"");
        return at < 0 ? "?" : a.text().substring(at + 8, a.text().indexOf('"', at + 8));
    }

    // ---------------------------------------------------------------- faults

    private void injectFaults() {
        long third = mPlan.shape().seconds() * 1000L / 3;
        try {
            switch (mPlan.condition()) {
                case "churn" -> churn(third);
                case "outage" -> {
                    Thread.sleep(third);
                    mFleet.platform().tableFaults().setDown(true);
                    Thread.sleep(third);
                    mFleet.platform().tableFaults().setDown(false);
                }
                default -> {
                    // No faults.
                }
            }
        } catch (Exception e) {
            throw new IllegalStateException(e);
        }
    }

    /** Kills a host, stops a leaving one, adds two and toggles the leaving state of another. */
    private void churn(long third) throws Exception {
        Thread.sleep(third);
        mFleet.killTarget(engineName(0));
        mFleet.platform().removeHost("host-" + engineName(0));
        Thread.sleep(third / 4);
        mFleet.setLeaving(engineName(1), "hall-b", true);
        mFleet.stopSidecar(engineName(1));
        mFleet.platform().removeHost("host-" + engineName(1));
        Thread.sleep(third / 4);
        mFleet.addEngine(engineName(12), "hall-a", MODEL, SPEED);
        mFleet.addEngine(engineName(13), "hall-b", MODEL, SPEED);
        for (int i = 0; i < 4; i++) {
            Thread.sleep(third / 8);
            mFleet.setLeaving(engineName(2), "hall-c", i % 2 == 0);
        }
    }

    // ---------------------------------------------------------------- results

    private void sample() {
        while (mSampling) {
            int max = 0;
            int sum = 0;
            int count = 0;
            for (EngineStandin e : List.copyOf(mFleet.engines().values())) {
                max = Math.max(max, e.load());
                sum += e.load();
                count++;
            }
            double mean = (double) sum / Math.max(1, count);
            if (mPastRampUp && mean >= 4) {
                // At lower load, a single request distorts the ratio.
                mLoadSkew.recordValue(Math.min(100_000, Math.round(max / mean * 1000)));
            }
            try {
                Thread.sleep(SAMPLE_MILLIS);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private double counterTotal(String name) {
        double sum = 0;
        for (Daemon d : mFleet.daemons()) {
            var m = d.registry().find(name).counter();
            sum += m == null ? 0 : m.count();
        }
        return sum;
    }

    private double controlBytesPerSecond(boolean routers) {
        double sum = 0;
        int n = 0;
        for (Daemon d : mFleet.daemons()) {
            if (mRouters.contains(d) == routers) {
                sum += d.registry().get("forkseam.control.bytes").functionCounter().count();
                n++;
            }
        }
        return sum / n / mPlan.shape().seconds();
    }

    private Map<String, Object> results() {
        mReusedTokens.set((long) counterTotal("forkseam.sidecar.cached.tokens"));
        Map<String, AtomicInteger> runs = new TreeMap<>();
        mFleet.services().values().forEach(s -> s.allRuns().forEach((k, v) -> add(runs, k, v)));
        mFleet.engines().values().forEach(e -> e.allRuns().forEach((k, v) -> add(runs, k, v)));
        mNotRunIds.stream().filter(runs::containsKey).forEach(i -> mFalseNotRun.incrementAndGet());
        Map<String, Object> m = new LinkedHashMap<>();
        m.put("deployment", mPlan.deployment());
        m.put("condition", mPlan.condition());
        m.put("placement", mPlan.placement());
        m.put("answered", mAnswered.get());
        m.put("reuse_of_prompt", ratio(mReusedTokens.get(), mPromptTokens.get()));
        m.put("reuse_of_ideal", ratio(mReusedTokens.get(), mIdealTokens.get()));
        m.put("skew_p50", mLoadSkew.getValueAtPercentile(50) / 1000.0);
        m.put("skew_p99", mLoadSkew.getValueAtPercentile(99) / 1000.0);
        m.put("skew_p999", mLoadSkew.getValueAtPercentile(99.9) / 1000.0);
        m.put("first_p50_ms", mTimeToFirstToken.getValueAtPercentile(50));
        m.put("first_p95_ms", mTimeToFirstToken.getValueAtPercentile(95));
        m.put("first_p99_ms", mTimeToFirstToken.getValueAtPercentile(99));
        m.put("quiet_teams_p95_ms", mNonSurgingTimeToFirstToken.getValueAtPercentile(95));
        m.put("lost", mLost.get());
        m.put("may_have_run", mMayHaveRun.get());
        m.put("false_not_run", mFalseNotRun.get());
        m.put("refused", mRefused.toString().replace(",", ";"));
        m.put("spills", (int) counterTotal("forkseam.router.spills"));
        m.put("retries", (int) counterTotal("forkseam.router.retries"));
        m.put("router_control_bps", Math.round(controlBytesPerSecond(true)));
        m.put("sidecar_control_bps", Math.round(controlBytesPerSecond(false)));
        return m;
    }

    private static void add(Map<String, AtomicInteger> runs, String id, AtomicInteger n) {
        runs.computeIfAbsent(id, k -> new AtomicInteger()).addAndGet(n.get());
    }

    private static double ratio(long a, long b) {
        return b == 0 ? 0 : Math.round(1000.0 * a / b) / 1000.0;
    }
}
