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
 * Starts services in dependency order and stops them in reverse order.
 *
 * <p>Not thread-safe; must not be used from the event loop.
 *
 * @since 0.1
 */
public final class ServiceManager {
    private static final Logger LOG = LoggerFactory.getLogger(ServiceManager.class);

    private final long mStopTimeoutMillis;
    private final Map<String, Service> mServices = new LinkedHashMap<>();
    private final List<Service> mStarted = new ArrayList<>();

    private ServiceManager(long stopTimeoutMillis) {
        mStopTimeoutMillis = stopTimeoutMillis;
    }

    /** Creates a manager that waits up to {@code stopTimeoutMillis} for each service to stop. */
    public static ServiceManager of(long stopTimeoutMillis) {
        return new ServiceManager(stopTimeoutMillis);
    }

    /** Adds a service. */
    public ServiceManager add(Service service) {
        if (mServices.putIfAbsent(service.name(), service) != null) {
            throw new IllegalStateException("duplicate service name: " + service.name());
        }
        return this;
    }

    /** Finds a service by name. */
    public <T extends Service> Optional<T> find(String name, Class<T> type) {
        return Optional.ofNullable(mServices.get(name)).filter(type::isInstance).map(type::cast);
    }

    /** Starts all services. If one fails, stops those already started and throws the failure. */
    public void start() throws InterruptedException, ExecutionException {
        for (Service s : startOrder()) {
            try {
                s.start().get();
            } catch (ExecutionException e) {
                stop();
                throw e;
            }
            mStarted.add(s);
        }
    }

    /** Stops the started services in reverse order, waiting for each up to the timeout. */
    public void stop() throws InterruptedException {
        List<Service> reverse = new ArrayList<>(mStarted);
        Collections.reverse(reverse);
        mStarted.clear();
        for (Service s : reverse) {
            CompletableFuture<Void> stopped = s.stop();
            try {
                stopped.get(mStopTimeoutMillis, TimeUnit.MILLISECONDS);
            } catch (TimeoutException e) {
                LOG.warn("event=stop-timeout service={} after_ms={}", s.name(), mStopTimeoutMillis);
            } catch (ExecutionException e) {
                LOG.warn("event=stop-failed service={}", s.name(), e.getCause());
            }
        }
    }

    /** Returns the state dump of each service by name. */
    public Map<String, Object> dump() {
        Map<String, Object> dumps = new TreeMap<>();
        mServices.forEach((n, s) -> dumps.put(n, s.dump()));
        return dumps;
    }

    private List<Service> startOrder() {
        List<Service> order = new ArrayList<>();
        List<Service> remaining = new ArrayList<>(mServices.values());
        while (!remaining.isEmpty()) {
            List<String> resolved = order.stream().map(Service::name).toList();
            Service next =
                    remaining.stream()
                            .filter(s -> resolved.containsAll(s.dependencies()))
                            .findFirst()
                            .orElseThrow(
                                    () -> new IllegalStateException(describeUnresolved(remaining)));
            remaining.remove(next);
            order.add(next);
        }
        return order;
    }

    private static String describeUnresolved(List<Service> remaining) {
        List<String> names =
                remaining.stream().map(s -> s.name() + " depends on " + s.dependencies()).toList();
        return "services with missing or circular dependencies: " + names;
    }
}
