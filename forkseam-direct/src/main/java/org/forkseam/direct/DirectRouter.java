package org.forkseam.direct;

import io.netty.channel.EventLoop;

import org.forkseam.core.kernel.ServiceManager;
import org.forkseam.core.util.Clock;
import org.forkseam.direct.admin.AdminService;
import org.forkseam.direct.admin.OperatorPages;
import org.forkseam.direct.flow.RouterService;
import org.forkseam.direct.io.EarlyServerSocket;
import org.forkseam.direct.know.FleetState;
import org.forkseam.direct.spi.HeaderCodec;

import java.util.Map;
import java.util.concurrent.ExecutionException;
import java.util.random.RandomGenerator;

/**
 * A router that forwards requests directly to targets. Starts and stops its services together.
 *
 * @since 0.2
 */
public final class DirectRouter {
    /** Number of target list reads within the time in which a leaving target must be noticed. */
    private static final double READS_PER_DRAIN = 2.5;

    private final ServiceManager mServiceManager;
    private final FleetState mFleetState;
    private final RouterService mRouter;

    private DirectRouter(
            ServiceManager serviceManager, FleetState fleetState, RouterService router) {
        mServiceManager = serviceManager;
        mFleetState = fleetState;
        mRouter = router;
    }

    /**
     * Creates a router.
     *
     * @param listener the open socket on which callers connect
     * @param loop the event loop that runs all work
     */
    public static DirectRouter of(
            RouterSettings settings,
            EarlyServerSocket listener,
            EventLoop loop,
            Clock clock,
            HeaderCodec codec,
            FleetState.Sources sources) {
        RandomGenerator random = new java.util.SplittableRandom(settings.host().hashCode());
        FleetState fleetState =
                FleetState.of(
                        loop,
                        clock,
                        sources,
                        random,
                        new FleetState.RouterIdentity(settings.host(), settings.peerAddress()),
                        targetListMillis(settings.bounds()));
        RouterService router =
                RouterService.of(
                        loop,
                        clock,
                        settings,
                        new RouterService.Parts(listener, fleetState, codec, random));
        ServiceManager serviceManager = ServiceManager.of(settings.bounds().shutdownMillis());
        AdminService admin =
                AdminService.of(
                        loop,
                        new AdminService.ListenAddresses(
                                settings.readinessAddress(),
                                settings.metricsAddress(),
                                settings.snapshotAddress()),
                        new AdminService.DataSources(
                                router::isReady,
                                registry -> {
                                    router.meters().bindTo(registry);
                                    StoreMeters.of(fleetState).bindTo(registry);
                                },
                                fleetState::snapshot,
                                OperatorPages.of(
                                        settings.host(),
                                        clock,
                                        serviceManager::dump,
                                        fleetState,
                                        router.decisions())));
        serviceManager.add(fleetState).add(admin).add(router);
        return new DirectRouter(serviceManager, fleetState, router);
    }

    private static long targetListMillis(RouterSettings.Bounds b) {
        return (long) (b.targetDrainMillis() / READS_PER_DRAIN);
    }

    /** Applies the limits of new settings; addresses and names are not changed. */
    public void reload(RouterSettings newer) {
        mRouter.reload(newer.bounds());
        mFleetState.setListMillis(targetListMillis(newer.bounds()));
    }

    /** Starts all services. */
    public void start() throws InterruptedException, ExecutionException {
        mServiceManager.start();
    }

    /** Stops all services; returns after the last response or at the shutdown timeout. */
    public void stop() throws InterruptedException {
        mServiceManager.stop();
    }

    /** Returns the state of each service by name. */
    public Map<String, Object> dump() {
        return mServiceManager.dump();
    }

    /** Returns whether the router is ready for callers. */
    public boolean isReady() {
        return mRouter.isReady();
    }
}
