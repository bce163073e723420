package org.forkseam.daemon.orders;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

import io.activej.http.HttpMethod;

import org.forkseam.core.lease.FenceGuard;
import org.forkseam.daemon.net.PacketListener;
import org.forkseam.daemon.share.LeaseKeeper;
import org.forkseam.platform.Row;
import org.forkseam.platform.TableService;
import org.forkseam.platform.http.PlatformHttpClient;
import org.forkseam.wire.Link;
import org.forkseam.wire.proto.Order;
import org.forkseam.wire.proto.OrderReply;
import org.forkseam.wire.proto.Packet;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;

/**
 * Is the only way for orders to an engine. It drops those of former holders, so that engines that
 * ignore fences are covered too. Used on the event loop.
 *
 * @since 0.1
 */
public final class OrderDesk implements PacketListener {
    private static final int OK = 200;

    private final PlatformHttpClient mHttp;
    private final String mUrl;
    private final TableService mTable;
    private final Supplier<Packet.Builder> mPackets;
    private final Map<String, FenceGuard> mGuards = new HashMap<>();

    private OrderDesk(
            PlatformHttpClient http,
            String url,
            TableService table,
            Supplier<Packet.Builder> packets) {
        mHttp = http;
        mUrl = url + "/v1/orders";
        mTable = table;
        mPackets = packets;
    }

    /** Creates the desk in front of the engine at a base URL. */
    public static OrderDesk of(
            PlatformHttpClient http,
            String url,
            TableService table,
            Supplier<Packet.Builder> packets) {
        return new OrderDesk(http, url, table, packets);
    }

    @Override
    public void onPacket(Link link, Packet p) {
        if (p.hasOrder()) {
            handle(p.getOrder())
                    .thenAccept(r -> link.send(mPackets.get().setOrderReply(r).build()));
        }
    }

    @Override
    public void onClosed(Link link) {
        // A reply that cannot be sent is asked for again by whoever plans next.
    }

    private CompletableFuture<OrderReply> handle(Order order) {
        if (order.getOnlyAsk()) {
            return ask(order, OrderResult.STATE);
        }
        FenceGuard guard = mGuards.computeIfAbsent(order.getDeployment(), k -> new FenceGuard());
        if (!guard.isUninitialized()) {
            return pass(order, guard);
        }
        // An earlier incarnation of this sidecar may have passed a newer fence on.
        return mTable.get(LeaseKeeper.key(order.getDeployment()))
                .handle((row, e) -> e == null ? learn(guard, row) : false)
                .thenCompose(
                        known ->
                                known
                                        ? pass(order, guard)
                                        : done(order, OrderResult.NO_ANSWER, "fence not known"));
    }

    private static boolean learn(FenceGuard guard, Optional<Row> row) {
        guard.initialize(row.map(r -> LeaseKeeper.read(r).fence()).orElse(0L));
        return true;
    }

    private CompletableFuture<OrderReply> pass(Order order, FenceGuard guard) {
        if (!guard.admit(order.getFence())) {
            return done(order, OrderResult.OLD_FENCE, "the latest is " + guard.highest());
        }
        return ask(order, OrderResult.STATE)
                .thenCompose(
                        state -> {
                            if (state.getResult().equals(OrderResult.NO_ANSWER.name())) {
                                return CompletableFuture.completedFuture(state);
                            }
                            // Meanwhile a newer holder's order may have gone ahead.
                            if (!guard.admit(order.getFence())) {
                                return done(order, OrderResult.OLD_FENCE, "");
                            }
                            return state.getChanging()
                                    ? done(order, OrderResult.CHANGING, "")
                                    : hand(order);
                        });
    }

    private CompletableFuture<OrderReply> hand(Order order) {
        ObjectNode body = PlatformHttpClient.JSON.createObjectNode().put("fence", order.getFence());
        body.put("model", order.getModel()).put("adapter", order.getAdapter());
        body.put("version", order.getVersion()).put("role", order.getRole());
        byte[] data = body.toString().getBytes(StandardCharsets.UTF_8);
        return mHttp.send("engine", HttpMethod.POST, mUrl, data)
                .handle((a, e) -> reply(order, a, e, OrderResult.TAKEN));
    }

    private CompletableFuture<OrderReply> ask(Order order, OrderResult result) {
        return mHttp.send("engine", HttpMethod.GET, mUrl, null)
                .handle((a, e) -> reply(order, a, e, result));
    }

    private static OrderReply reply(
            Order order, PlatformHttpClient.Response answer, Throwable e, OrderResult result) {
        OrderReply.Builder b = OrderReply.newBuilder().setId(order.getId());
        if (e != null) {
            return b.setResult(OrderResult.NO_ANSWER.name()).setDetail(e.toString()).build();
        }
        if (answer.status() != OK) {
            String detail = "status " + answer.status();
            return b.setResult(OrderResult.REFUSED.name()).setDetail(detail).build();
        }
        try {
            JsonNode n = PlatformHttpClient.JSON.readTree(answer.body());
            return b.setResult(result.name())
                    .setModel(n.path("model").asText())
                    .setAdapter(n.path("adapter").asText())
                    .setVersion(n.path("version").asText())
                    .setRole(n.path("role").asText())
                    .setChanging(n.path("changing").asBoolean())
                    .build();
        } catch (IOException x) {
            return b.setResult(OrderResult.NO_ANSWER.name()).setDetail("not JSON").build();
        }
    }

    private static CompletableFuture<OrderReply> done(
            Order order, OrderResult result, String detail) {
        return CompletableFuture.completedFuture(
                OrderReply.newBuilder()
                        .setId(order.getId())
                        .setResult(result.name())
                        .setDetail(detail)
                        .build());
    }
}
