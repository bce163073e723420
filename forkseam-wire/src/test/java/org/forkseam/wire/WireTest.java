package org.forkseam.wire;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import org.forkseam.wire.proto.Cancel;
import org.forkseam.wire.proto.Packet;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.HexFormat;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/** Contract of the links between daemons, bad peers included. */
class WireTest {
    private static final long WAIT_SECONDS = 20;

    /** A first handshake loads its classes; beside other work that has taken over half a second. */
    private static final int HANDSHAKE_MILLIS = 3_000;

    private final Recorder mAtServer = new Recorder();
    private final Recorder mAtClient = new Recorder();
    private final Wire mServer = wire("server", "shared-key", mAtServer);
    private final Wire mClient = wire("client", "shared-key", mAtClient);

    /** Records what a handler receives. */
    private static final class Recorder implements LinkHandler {
        final BlockingQueue<Packet> mPackets = new LinkedBlockingQueue<>();
        final BlockingQueue<Link> mClosed = new LinkedBlockingQueue<>();

        @Override
        public void onPackets(Link link, List<Packet> packets) {
            mPackets.addAll(packets);
        }

        @Override
        public void onClosed(Link link) {
            mClosed.add(link);
        }
    }

    private static Wire wire(String host, String key, LinkHandler handler) {
        WireIdentity id = WireIdentity.of(host, "router", "", 1, key);
        WireSettings s = new WireSettings(id, 64 << 10, HANDSHAKE_MILLIS, 1000, Optional.empty());
        return Wire.of(s, handler);
    }

    @BeforeEach
    void start() {
        mServer.start(Optional.of(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0)));
        mClient.start(Optional.empty());
    }

    @AfterEach
    void stop() {
        mClient.stop();
        mServer.stop();
    }

    private static Packet packet(long stream) {
        return Packet.newBuilder().setCancel(Cancel.newBuilder().setStream(stream)).build();
    }

    @Test
    void packetsArriveInOrder() throws Exception {
        Link link = mClient.connect(mServer.address()).get();
        for (int i = 0; i < 100; i++) {
            link.send(packet(i));
        }
        for (int i = 0; i < 100; i++) {
            Packet p = mAtServer.mPackets.poll(WAIT_SECONDS, TimeUnit.SECONDS);
            assertThat(p.getCancel().getStream()).isEqualTo(i);
        }
        assertThat(link.peer().getHost()).isEqualTo("server");
    }

    @Test
    void stoppingOneSideClosesTheOther() throws Exception {
        Link link = mClient.connect(mServer.address()).get();
        link.send(packet(1));
        assertThat(mAtServer.mPackets.poll(WAIT_SECONDS, TimeUnit.SECONDS)).isNotNull();
        mServer.stop();
        assertThat(mAtClient.mClosed.poll(WAIT_SECONDS, TimeUnit.SECONDS)).isSameInstanceAs(link);
    }

    @Test
    void wrongKeyIsTurnedAwayAndCounted() {
        Wire stranger = wire("stranger", "another-key", new Recorder());
        stranger.start(Optional.empty());
        assertThrows(ExecutionException.class, () -> stranger.connect(mServer.address()).get());
        assertThat(mServer.counters().rejectedPeers()).isEqualTo(1);
        stranger.stop();
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "7fffffff", // a packet of 2 GB announced
                "00000004ffffffff", // not protobuf
                "000000020a00", // a packet that is no Hello
                "474554202f20485454502f312e310d0a0d0a", // an HTTP request
                "0000", // cut in the middle, then silence
                "" // nothing at all
            })
    void badPeerIsClosedAndHarmsNoOther(String hex) throws Exception {
        Link good = mClient.connect(mServer.address()).get();
        try (Socket bad = new Socket()) {
            bad.connect(mServer.address());
            bad.getOutputStream().write(HexFormat.of().parseHex(hex));
            bad.setSoTimeout((int) TimeUnit.SECONDS.toMillis(WAIT_SECONDS));
            InputStream in = bad.getInputStream();
            while (in.read() >= 0) {
                // The server's own Hello comes first, then the end.
            }
        } catch (java.net.SocketException e) {
            assertThat(e).hasMessageThat().contains("reset");
        }
        long counted = mServer.counters().rejectedPeers() + mServer.counters().malformed();
        assertThat(counted).isAtLeast(1);
        good.send(packet(7));
        assertThat(mAtServer.mPackets.poll(WAIT_SECONDS, TimeUnit.SECONDS)).isNotNull();
    }
}
