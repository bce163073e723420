package org.forkseam.daemon.orders;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

import io.activej.http.HttpMethod;

import org.forkseam.core.lease.FenceGuard;
import org.forkseam.daemon.net.PacketListener;
import org.forkseam.daemon.share.LeaseManager;
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
 * Submits orders to the engine of this sidecar. Rejects orders with an outdated fencing token, so
 * that former lease holders cannot act even on engines that ignore the token. Not thread-safe: used
 * on the event loop only.
 *
 * @since 0.1
 */
public final class OrderHandler implements PacketListener {
    private static final int OK = 200;

    private final PlatformHttpClient mHttp;
    private final String mUrl;
    private final TableService mTable;
    private final Supplier<Packet.Builder> mPacketFactory;
    private final Map<String, FenceGuard> mFenceGuards = new HashMap<>();

    private OrderHandler(
            PlatformHttpClient http,
            String url,
            TableService table,
            Supplier<Packet.Builder> packets) {
        mHttp = http;
        mUrl = url + "/v1/orders";
        mTable = table;
        mPacketFactory = packets;
    }

    /** Creates a handler for the engine at a base URL. */
    public static OrderHandler of(
            PlatformHttpClient http,
            String url,
            TableService table,
            Supplier<Packet.Builder> packets) {
        return new OrderHandler(http, url, table, packets);
    }

    @Override
    public void onPacket(Link link, Packet p) {
        if (p.hasOrder()) {
            handle(p.getOrder())
                    .thenAccept(r -> link.send(mPacketFactory.get().setOrderReply(r).build()));
        }
    }

    @Override
    public void onClosed(Link link) {
        // The lease holder polls the state again if a reply is lost.
    }

    private CompletableFuture<OrderReply> handle(Order order) {
        if (order.getOnlyAsk()) {
            return queryState(order, OrderResult.STATE);
        }
        FenceGuard guard =
                mFenceGuards.computeIfAbsent(order.getDeployment(), k -> new FenceGuard());
        if (!guard.isUninitialized()) {
            return submitIfCurrent(order, guard);
        }
        // A previous incarnation of this sidecar may have accepted a newer fence.
        return mTable.get(LeaseManager.key(order.getDeployment()))
                .handle((row, e) -> e == null ? initializeFence(guard, row) : false)
                .thenCompose(
                        known ->
                                known
                                        ? submitIfCurrent(order, guard)
                                        : completed(
                                                order,
                                                OrderResult.NO_ANSWER,
                                                "cannot read the current fence"));
    }

    private static boolean initializeFence(FenceGuard guard, Optional<Row> row) {
        guard.initialize(row.map(r -> LeaseManager.fromRow(r).fence()).orElse(0L));
        return true;
    }

    private CompletableFuture<OrderReply> submitIfCurrent(Order order, FenceGuard guard) {
        if (!guard.admit(order.getFence())) {
            return completed(
                    order, OrderResult.OLD_FENCE, "the highest fence is " + guard.highest());
        }
        return queryState(order, OrderResult.STATE)
                .thenCompose(
                        state -> {
                            if (state.getResult().equals(OrderResult.NO_ANSWER.name())) {
                                return CompletableFuture.completedFuture(state);
                            }
                            // An order with a newer fence may have been accepted meanwhile.
                            if (!guard.admit(order.getFence())) {
                                return completed(order, OrderResult.OLD_FENCE, "");
                            }
                            return state.getChanging()
                                    ? completed(order, OrderResult.CHANGING, "")
                                    : submit(order);
                        });
    }

    private CompletableFuture<OrderReply> submit(Order order) {
        ObjectNode body = PlatformHttpClient.JSON.createObjectNode().put("fence", order.getFence());
        body.put("model", order.getModel()).put("adapter", order.getAdapter());
        body.put("version", order.getVersion()).put("role", order.getRole());
        byte[] data = body.toString().getBytes(StandardCharsets.UTF_8);
        return mHttp.send("engine", HttpMethod.POST, mUrl, data)
                .handle((a, e) -> reply(order, a, e, OrderResult.TAKEN));
    }

    private CompletableFuture<OrderReply> queryState(Order order, OrderResult result) {
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
            return b.setResult(OrderResult.NO_ANSWER.name())
                    .setDetail("engine response is not JSON")
                    .build();
        }
    }

    private static CompletableFuture<OrderReply> completed(
            Order order, OrderResult result, String detail) {
        return CompletableFuture.completedFuture(
                OrderReply.newBuilder()
                        .setId(order.getId())
                        .setResult(result.name())
                        .setDetail(detail)
                        .build());
    }
}
