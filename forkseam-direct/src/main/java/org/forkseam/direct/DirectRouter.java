package org.forkseam.direct;

import io.netty.channel.EventLoop;

import org.forkseam.core.kernel.ServiceManager;
import org.forkseam.core.util.Clock;
import org.forkseam.direct.admin.AdminService;
import org.forkseam.direct.admin.OperatorPages;
import org.forkseam.direct.flow.RouterService;
import org.forkseam.direct.io.EarlyListener;
import org.forkseam.direct.know.Knowledge;
import org.forkseam.direct.spi.CallerProtocol;

import java.util.Map;
import java.util.concurrent.ExecutionException;
import java.util.random.RandomGenerator;

/**
 * Is one router on the direct path: its services, started and stopped together.
 *
 * @since 0.2
 */
public final class DirectRouter {
    /** Reads of the list of targets that fit into the time in which a leaving one is noticed. */
    private static final double READS_PER_LEAVE = 2.5;

    private final ServiceManager mKernel;
    private final Knowledge mKnowledge;
    private final RouterService mRouter;

    private DirectRouter(ServiceManager kernel, Knowledge knowledge, RouterService router) {
        mKernel = kernel;
        mKnowledge = knowledge;
        mRouter = router;
    }

    /**
     * Creates a router from its settings and what an adapter brings.
     *
     * @param listener where callers connect, open already
     * @param loop runs all of the router's work
     */
    public static DirectRouter of(
            RouterSettings settings,
            EarlyListener listener,
            EventLoop loop,
            Clock clock,
            CallerProtocol protocol,
            Knowledge.Sources sources) {
        RandomGenerator random = new java.util.SplittableRandom(settings.host().hashCode());
        Knowledge knowledge =
                Knowledge.of(
                        loop,
                        clock,
                        sources,
                        random,
                        new Knowledge.RouterIdentity(settings.host(), settings.notices()),
                        listMillis(settings.bounds()));
        RouterService router =
                RouterService.of(
                        loop,
                        clock,
                        settings,
                        new RouterService.Parts(listener, knowledge, protocol, random));
        ServiceManager kernel = ServiceManager.of(settings.bounds().stopMillis());
        AdminService admin =
                AdminService.of(
                        loop,
                        new AdminService.Addresses(
                                settings.readiness(), settings.metrics(), settings.peers()),
                        new AdminService.Views(
                                router::isReady,
                                registry -> {
                                    router.meters().bindTo(registry);
                                    StoreMeters.of(knowledge).bindTo(registry);
                                },
                                knowledge::snapshot,
                                OperatorPages.of(
                                        settings.host(),
                                        clock,
                                        kernel::dump,
                                        knowledge,
                                        router.decisions())));
        kernel.add(knowledge).add(admin).add(router);
        return new DirectRouter(kernel, knowledge, router);
    }

    private static long listMillis(RouterSettings.Bounds b) {
        return (long) (b.leaveMillis() / READS_PER_LEAVE);
    }

    /** Puts the bounds of newer settings in force; addresses and names stay as at the start. */
    public void reload(RouterSettings newer) {
        mRouter.reload(newer.bounds());
        mKnowledge.setListMillis(listMillis(newer.bounds()));
    }

    /** Starts all services. */
    public void start() throws InterruptedException, ExecutionException {
        mKernel.start();
    }

    /** Stops all services; returns when the last answer is out, or the time given is over. */
    public void stop() throws InterruptedException {
        mKernel.stop();
    }

    /** Returns what each service shows of itself, by name. */
    public Map<String, Object> dump() {
        return mKernel.dump();
    }

    /** Returns whether it serves callers. */
    public boolean isReady() {
        return mRouter.isReady();
    }
}
