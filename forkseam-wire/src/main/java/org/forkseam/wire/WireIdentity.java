package org.forkseam.wire;

import com.google.protobuf.ByteString;

import org.forkseam.wire.proto.Hello;

import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.security.SecureRandom;

import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/**
 * Identity of a daemon, with the shared key that authenticates it to its peers.
 *
 * <p>Each side sends a random nonce and the other replies with an HMAC over the nonce and its own
 * host and role, so the key itself is never transmitted. Immutable.
 *
 * @param host host of the daemon
 * @param role role of the daemon
 * @param target target served by the daemon, or empty
 * @param incarnation number that increases with each start of the daemon
 * @param key shared key of the fleet
 * @since 0.1
 */
public record WireIdentity(
        String host, String role, String target, long incarnation, ByteString key) {
    private static final String ALGORITHM = "HmacSHA256";
    private static final int NONCE_BYTES = 16;
    private static final SecureRandom RANDOM = new SecureRandom();

    /** Creates an identity from a key given as text. */
    public static WireIdentity of(
            String host, String role, String target, long incarnation, String key) {
        return new WireIdentity(host, role, target, incarnation, ByteString.copyFromUtf8(key));
    }

    static ByteString nonce() {
        byte[] b = new byte[NONCE_BYTES];
        RANDOM.nextBytes(b);
        return ByteString.copyFrom(b);
    }

    Hello hello(ByteString ownNonce, ByteString otherNonce) {
        return Hello.newBuilder()
                .setHost(host)
                .setRole(role)
                .setTarget(target)
                .setIncarnation(incarnation)
                .setNonce(ownNonce)
                .setProof(
                        otherNonce.isEmpty()
                                ? ByteString.EMPTY
                                : computeProof(otherNonce, host, role))
                .build();
    }

    boolean verifyProof(Hello hello, ByteString ownNonce) {
        ByteString expected = computeProof(ownNonce, hello.getHost(), hello.getRole());
        return MessageDigest.isEqual(expected.toByteArray(), hello.getProof().toByteArray());
    }

    private ByteString computeProof(ByteString nonce, String peerHost, String peerRole) {
        try {
            Mac m = Mac.getInstance(ALGORITHM);
            m.init(new SecretKeySpec(key.toByteArray(), ALGORITHM));
            m.update(nonce.toByteArray());
            m.update((peerHost + "\n" + peerRole).getBytes(StandardCharsets.UTF_8));
            return ByteString.copyFrom(m.doFinal());
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException("Mac algorithm not available: " + ALGORITHM, e);
        }
    }
}
