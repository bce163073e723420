package org.forkseam.direct.know;

import io.netty.buffer.ByteBuf;

import org.forkseam.core.traffic.CallerLimits;
import org.forkseam.core.traffic.ColdStart;
import org.forkseam.core.traffic.ConfigChange;
import org.forkseam.core.traffic.Pool;
import org.forkseam.core.traffic.PoolShare;
import org.forkseam.core.traffic.Route;
import org.forkseam.core.traffic.RouteKind;
import org.forkseam.core.traffic.Team;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;

/** Encodes and decodes configuration changes in datagrams. Stateless. */
final class ConfigCodec {
    private static final int NO_PRIORITY = -1;

    /** Larger changes never fit into a datagram and are not encoded. */
    private static final int MAX_ENTRIES = 100;

    private ConfigCodec() {}

    static ByteBuf write(ByteBuf b, ConfigChange c) {
        b.writeLong(c.before()).writeLong(c.after());
        b.writeLong(c.fingerprintBefore()).writeLong(c.fingerprintAfter());
        writeLimits(b, c.limits());
        int parts = c.routes().size() + c.removedRoutes().size() + c.teams().size();
        if (parts + c.removedKeys().size() > MAX_ENTRIES) {
            return b.writeZero(PeerCodec.MAX_BYTES);
        }
        b.writeShort(c.routes().size());
        c.routes().forEach(r -> writeRoute(b, r));
        StringCodec.writeAll(b, c.removedRoutes());
        b.writeShort(c.pools().size());
        c.pools().forEach(p -> writePool(b, p));
        StringCodec.writeAll(b, c.removedPools());
        b.writeShort(c.teams().size());
        c.teams().forEach((key, team) -> writeTeam(b, key, team));
        StringCodec.writeAll(b, c.removedKeys());
        return b;
    }

    static ConfigChange read(ByteBuf b) {
        long before = b.readLong();
        long after = b.readLong();
        long fingerprintBefore = b.readLong();
        long fingerprintAfter = b.readLong();
        CallerLimits limits =
                new CallerLimits(
                        b.readInt(), b.readInt(), b.readLong(), b.readLong(), b.readBoolean());
        List<Route> routes = new ArrayList<>();
        for (int i = b.readUnsignedShort(); i > 0; i--) {
            routes.add(readRoute(b));
        }
        List<String> removedRoutes = StringCodec.readAll(b);
        List<Pool> pools = new ArrayList<>();
        for (int i = b.readUnsignedShort(); i > 0; i--) {
            pools.add(readPool(b));
        }
        List<String> removedPools = StringCodec.readAll(b);
        Map<String, Team> teams = new HashMap<>();
        for (int i = b.readUnsignedShort(); i > 0; i--) {
            teams.put(StringCodec.read(b), readTeam(b));
        }
        return new ConfigChange(
                before,
                after,
                fingerprintBefore,
                fingerprintAfter,
                routes,
                removedRoutes,
                pools,
                removedPools,
                teams,
                StringCodec.readAll(b),
                limits);
    }

    private static void writeLimits(ByteBuf b, CallerLimits l) {
        b.writeInt(l.headerBytes()).writeInt(l.bodyBytes());
        b.writeLong(l.headerMillis()).writeLong(l.idleMillis()).writeBoolean(l.keyRequired());
    }

    private static void writeRoute(ByteBuf b, Route r) {
        StringCodec.write(b, r.name());
        StringCodec.write(b, r.host());
        StringCodec.write(b, r.pathPrefix());
        b.writeByte(r.kind().ordinal()).writeLong(r.timeoutMillis()).writeLong(r.latencyMillis());
        b.writeLong(r.pauseMillis()).writeInt(r.attempts()).writeInt(r.priority());
        b.writeBoolean(r.open()).writeShort(r.shares().size());
        for (PoolShare s : r.shares()) {
            StringCodec.write(b, s.pool());
            b.writeInt(s.weight());
        }
        StringCodec.writeAll(b, r.homes());
    }

    private static Route readRoute(ByteBuf b) {
        return new Route(
                StringCodec.read(b),
                StringCodec.read(b),
                StringCodec.read(b),
                RouteKind.values()[b.readUnsignedByte()],
                b.readLong(),
                b.readLong(),
                b.readLong(),
                b.readInt(),
                b.readInt(),
                b.readBoolean(),
                readShares(b),
                StringCodec.readAll(b));
    }

    private static List<PoolShare> readShares(ByteBuf b) {
        List<PoolShare> out = new ArrayList<>();
        for (int i = b.readUnsignedShort(); i > 0; i--) {
            out.add(new PoolShare(StringCodec.read(b), b.readInt()));
        }
        return out;
    }

    private static void writePool(ByteBuf b, Pool p) {
        StringCodec.write(b, p.name());
        b.writeInt(p.maxConnections()).writeBoolean(p.engine());
        b.writeLong(p.coldStart().millis()).writeDouble(p.coldStart().perSecond());
        b.writeLong(p.cacheTokensPerSlot());
        StringCodec.write(b, p.healthPath());
    }

    private static Pool readPool(ByteBuf b) {
        return new Pool(
                StringCodec.read(b),
                b.readInt(),
                b.readBoolean(),
                new ColdStart(b.readLong(), b.readDouble()),
                b.readLong(),
                StringCodec.read(b));
    }

    private static void writeTeam(ByteBuf b, String key, Team t) {
        StringCodec.write(b, key);
        StringCodec.write(b, t.name());
        b.writeInt(t.priority().orElse(NO_PRIORITY));
        StringCodec.writeAll(b, t.homes());
    }

    private static Team readTeam(ByteBuf b) {
        String name = StringCodec.read(b);
        int priority = b.readInt();
        return new Team(
                name,
                priority == NO_PRIORITY ? OptionalInt.empty() : OptionalInt.of(priority),
                StringCodec.readAll(b));
    }
}
