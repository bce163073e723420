package org.forkseam.core.kernel;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/**
 * Starts services in the order of their needs and stops them in reverse.
 *
 * <p>Used from one thread that is not the event loop.
 *
 * @since 0.1
 */
public final class Kernel {
    private static final Logger LOG = LoggerFactory.getLogger(Kernel.class);

    private final long mStopMillis;
    private final Map<String, Service> mServices = new LinkedHashMap<>();
    private final List<Service> mStarted = new ArrayList<>();

    private Kernel(long stopMillis) {
        mStopMillis = stopMillis;
    }

    /** Creates a kernel that gives each service so long to stop. */
    public static Kernel of(long stopMillis) {
        return new Kernel(stopMillis);
    }

    /** Adds a service. */
    public Kernel add(Service service) {
        if (mServices.putIfAbsent(service.name(), service) != null) {
            throw new IllegalStateException("two services named " + service.name());
        }
        return this;
    }

    /** Finds a service by name. */
    public <T extends Service> Optional<T> find(String name, Class<T> type) {
        return Optional.ofNullable(mServices.get(name)).filter(type::isInstance).map(type::cast);
    }

    /** Starts all services; if one fails, those started are stopped and the failure is thrown. */
    public void start() throws InterruptedException, ExecutionException {
        for (Service s : inOrder()) {
            try {
                s.start().get();
            } catch (ExecutionException e) {
                stop();
                throw e;
            }
            mStarted.add(s);
        }
    }

    /** Stops the started services in reverse order, each within the bounded time. */
    public void stop() throws InterruptedException {
        List<Service> reverse = new ArrayList<>(mStarted);
        Collections.reverse(reverse);
        mStarted.clear();
        for (Service s : reverse) {
            CompletableFuture<Void> stopped = s.stop();
            try {
                stopped.get(mStopMillis, TimeUnit.MILLISECONDS);
            } catch (TimeoutException e) {
                LOG.warn("event=stop-timeout service={} after_ms={}", s.name(), mStopMillis);
            } catch (ExecutionException e) {
                LOG.warn("event=stop-failed service={}", s.name(), e.getCause());
            }
        }
    }

    /** Returns what each service shows of itself, by name. */
    public Map<String, Object> dump() {
        Map<String, Object> out = new TreeMap<>();
        mServices.forEach((n, s) -> out.put(n, s.dump()));
        return out;
    }

    private List<Service> inOrder() {
        List<Service> order = new ArrayList<>();
        List<Service> left = new ArrayList<>(mServices.values());
        while (!left.isEmpty()) {
            List<String> done = order.stream().map(Service::name).toList();
            Service next =
                    left.stream()
                            .filter(s -> done.containsAll(s.needs()))
                            .findFirst()
                            .orElseThrow(() -> new IllegalStateException(unmet(left)));
            left.remove(next);
            order.add(next);
        }
        return order;
    }

    private static String unmet(List<Service> left) {
        List<String> names = left.stream().map(s -> s.name() + " needs " + s.needs()).toList();
        return "services that wait for one another or for one that is absent: " + names;
    }
}
