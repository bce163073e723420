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

/** Guards packet order, closing, authentication and the handling of malformed input. */
class WireTransportTest {
    private static final long WAIT_SECONDS = 20;

    private static final int HANDSHAKE_MILLIS = 3_000;

    private final RecordingHandler mAtServer = new RecordingHandler();
    private final RecordingHandler mAtClient = new RecordingHandler();
    private final WireTransport mServer = wire("server", "shared-key", mAtServer);
    private final WireTransport mClient = wire("client", "shared-key", mAtClient);

    /** Records the events received. */
    private static final class RecordingHandler implements LinkHandler {
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

    private static WireTransport wire(String host, String key, LinkHandler handler) {
        WireIdentity id = WireIdentity.of(host, "router", "", 1, key);
        WireSettings s = new WireSettings(id, 64 << 10, HANDSHAKE_MILLIS, 1000, Optional.empty());
        return WireTransport.of(s, handler);
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
    void wrongKeyIsRejectedAndCounted() {
        WireTransport unauthorized = wire("stranger", "another-key", new RecordingHandler());
        unauthorized.start(Optional.empty());
        assertThrows(ExecutionException.class, () -> unauthorized.connect(mServer.address()).get());
        assertThat(mServer.counters().rejectedPeers()).isEqualTo(1);
        unauthorized.stop();
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "7fffffff", // length prefix of 2 GB
                "00000004ffffffff", // invalid protobuf
                "000000020a00", // packet without a Hello
                "474554202f20485454502f312e310d0a0d0a", // an HTTP request
                "0000", // truncated length prefix, then idle
                "" // connects but sends nothing
            })
    void malformedInputClosesOnlyItsOwnConnection(String hex) throws Exception {
        Link healthy = mClient.connect(mServer.address()).get();
        try (Socket malformed = new Socket()) {
            malformed.connect(mServer.address());
            malformed.getOutputStream().write(HexFormat.of().parseHex(hex));
            malformed.setSoTimeout((int) TimeUnit.SECONDS.toMillis(WAIT_SECONDS));
            InputStream in = malformed.getInputStream();
            while (in.read() >= 0) {
                // Reads the server's Hello until the connection is closed.
            }
        } catch (java.net.SocketException e) {
            assertThat(e).hasMessageThat().contains("reset");
        }
        long counted = mServer.counters().rejectedPeers() + mServer.counters().malformed();
        assertThat(counted).isAtLeast(1);
        healthy.send(packet(7));
        assertThat(mAtServer.mPackets.poll(WAIT_SECONDS, TimeUnit.SECONDS)).isNotNull();
    }
}
