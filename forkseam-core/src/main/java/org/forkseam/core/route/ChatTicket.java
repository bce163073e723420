package org.forkseam.core.route;

import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.util.Arrays;
import java.util.Base64;
import java.util.Optional;

import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/**
 * Says where a chat was last served and how much of its prompt that target then held.
 *
 * <p>It travels with the caller, so that it costs no control traffic and outlives every router. It
 * is signed: a ticket that any key of the fleet did not sign is not read. It is a hint and never an
 * authority: a wrong one costs cache reuse and nothing else.
 *
 * @param chat hash of the chat's id
 * @param target the target that served the chat
 * @param tokens prompt and answer tokens held there then
 * @param atMillis when it was served
 * @since 0.1
 */
public record ChatTicket(long chat, String target, int tokens, long atMillis) {
    private static final String ALGORITHM = "HmacSHA256";
    private static final int MAC_BYTES = 12;
    private static final int MAX_TEXT = 512;

    /** Writes the ticket as a short signed text that fits in a header. */
    public String sign(byte[] key) {
        String plain = Long.toHexString(chat) + " " + tokens + " " + atMillis + " " + target;
        byte[] body = plain.getBytes(StandardCharsets.UTF_8);
        byte[] both = Arrays.copyOf(mac(key, body), MAC_BYTES + body.length);
        System.arraycopy(body, 0, both, MAC_BYTES, body.length);
        return Base64.getUrlEncoder().withoutPadding().encodeToString(both);
    }

    /** Reads a ticket of this chat; empty if it is malformed, forged or of another chat. */
    public static Optional<ChatTicket> read(String text, long chat, byte[] key) {
        if (text == null || text.isEmpty() || text.length() > MAX_TEXT) {
            return Optional.empty();
        }
        byte[] both;
        try {
            both = Base64.getUrlDecoder().decode(text);
        } catch (IllegalArgumentException e) {
            return Optional.empty(); // not base64: somebody else's text, so no ticket
        }
        if (both.length <= MAC_BYTES) {
            return Optional.empty();
        }
        byte[] body = Arrays.copyOfRange(both, MAC_BYTES, both.length);
        if (!MessageDigest.isEqual(mac(key, body), Arrays.copyOf(both, MAC_BYTES))) {
            return Optional.empty();
        }
        String[] f = new String(body, StandardCharsets.UTF_8).split(" ", 4);
        ChatTicket t =
                new ChatTicket(
                        Long.parseUnsignedLong(f[0], 16),
                        f[3],
                        Integer.parseInt(f[1]),
                        Long.parseLong(f[2]));
        return t.chat == chat ? Optional.of(t) : Optional.empty();
    }

    private static byte[] mac(byte[] key, byte[] body) {
        try {
            Mac m = Mac.getInstance(ALGORITHM);
            m.init(new SecretKeySpec(key, ALGORITHM));
            return Arrays.copyOf(m.doFinal(body), MAC_BYTES);
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException("every Java platform has " + ALGORITHM, e);
        }
    }
}
