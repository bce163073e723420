package org.forkseam.direct;

import static com.google.common.truth.Truth.assertThat;

import org.forkseam.direct.io.Connector;
import org.junit.jupiter.api.Test;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;

/** Tests that a scripted server is as reachable as a target. */
class ScriptedServerTest {
    /** More than tests open at once at one server. */
    private static final int CONNECTIONS = 200;

    /**
     * Guards against a full queue of connections: on a busy machine the accept thread falls behind,
     * and the kernel then ignores a connection attempt for a second.
     */
    @Test
    void connectionsAreEstablishedWhileTheAcceptThreadIsBehind() throws Exception {
        ScriptedServer server = ScriptedServer.of((r, w) -> true);
        InetSocketAddress address = addressOf(server);
        server.pauseAccepting();
        List<Socket> sockets = new ArrayList<>();
        for (int i = 0; i < CONNECTIONS; i++) {
            if (!connect(address, sockets)) {
                break;
            }
        }
        server.resumeAccepting();
        assertThat(sockets).hasSize(CONNECTIONS);
        for (Socket s : sockets) {
            s.close();
        }
        server.close();
    }

    private static InetSocketAddress addressOf(ScriptedServer server) {
        String[] address = server.address().split(":");
        return new InetSocketAddress(address[0], Integer.parseInt(address[1]));
    }

    /** Opens one more connection; returns whether it was established in time. */
    private static boolean connect(InetSocketAddress address, List<Socket> sockets) {
        Socket s = new Socket();
        try {
            s.connect(address, Connector.CONNECT_TIMEOUT_MILLIS);
        } catch (IOException e) {
            return false;
        }
        sockets.add(s);
        return true;
    }
}
