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
 * Says who a daemon is and proves that it holds the fleet's shared key.
 *
 * <p>Each side draws a nonce, and the other sends an HMAC over it and its own name; the key itself
 * never travels. Immutable.
 *
 * @param host the daemon's host
 * @param role its role
 * @param target the target beside it, or empty
 * @param incarnation grows at each start
 * @param key the fleet's shared key
 * @since 0.1
 */
public record WireIdentity(
        String host, String role, String target, long incarnation, ByteString key) {
    private static final String ALGORITHM = "HmacSHA256";
    private static final int NONCE_BYTES = 16;
    private static final SecureRandom RANDOM = new SecureRandom();

    /** Creates an identity with a key given as text. */
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
                .setProof(otherNonce.isEmpty() ? ByteString.EMPTY : proof(otherNonce, host, role))
                .build();
    }

    boolean proves(Hello hello, ByteString ownNonce) {
        ByteString expected = proof(ownNonce, hello.getHost(), hello.getRole());
        return MessageDigest.isEqual(expected.toByteArray(), hello.getProof().toByteArray());
    }

    private ByteString proof(ByteString nonce, String name, String itsRole) {
        try {
            Mac m = Mac.getInstance(ALGORITHM);
            m.init(new SecretKeySpec(key.toByteArray(), ALGORITHM));
            m.update(nonce.toByteArray());
            m.update((name + "\n" + itsRole).getBytes(StandardCharsets.UTF_8));
            return ByteString.copyFrom(m.doFinal());
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException("every Java platform has " + ALGORITHM, e);
        }
    }
}
