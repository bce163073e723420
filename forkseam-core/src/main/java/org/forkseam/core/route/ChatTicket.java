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
 * Records where a chat was last served and how many of its tokens were cached there.
 *
 * <p>The client carries the ticket, so it needs no control traffic and survives router restarts. It
 * is signed with a key of the fleet, and others are ignored. A ticket is only a hint: a wrong one
 * costs a cache miss. Immutable.
 *
 * @param chat hash of the chat's id
 * @param target the target that served the chat
 * @param tokens prompt and answer tokens cached there
 * @param atMillis when the chat was served
 * @since 0.1
 */
public record ChatTicket(long chat, String target, int tokens, long atMillis) {
    private static final String ALGORITHM = "HmacSHA256";
    private static final int MAC_BYTES = 12;
    private static final int MAX_LENGTH = 512;

    /** Serializes the ticket as a short signed text that fits in a header. */
    public String sign(byte[] key) {
        String plain = Long.toHexString(chat) + " " + tokens + " " + atMillis + " " + target;
        byte[] body = plain.getBytes(StandardCharsets.UTF_8);
        byte[] signed = Arrays.copyOf(mac(key, body), MAC_BYTES + body.length);
        System.arraycopy(body, 0, signed, MAC_BYTES, body.length);
        return Base64.getUrlEncoder().withoutPadding().encodeToString(signed);
    }

    /** Parses a ticket; empty if it is malformed, wrongly signed or of another chat. */
    public static Optional<ChatTicket> verify(String text, long chat, byte[] key) {
        if (text == null || text.isEmpty() || text.length() > MAX_LENGTH) {
            return Optional.empty();
        }
        byte[] signed;
        try {
            signed = Base64.getUrlDecoder().decode(text);
        } catch (IllegalArgumentException e) {
            return Optional.empty(); // not Base64
        }
        if (signed.length <= MAC_BYTES) {
            return Optional.empty();
        }
        byte[] body = Arrays.copyOfRange(signed, MAC_BYTES, signed.length);
        if (!MessageDigest.isEqual(mac(key, body), Arrays.copyOf(signed, MAC_BYTES))) {
            return Optional.empty();
        }
        String[] fields = new String(body, StandardCharsets.UTF_8).split(" ", 4);
        ChatTicket ticket =
                new ChatTicket(
                        Long.parseUnsignedLong(fields[0], 16),
                        fields[3],
                        Integer.parseInt(fields[1]),
                        Long.parseLong(fields[2]));
        return ticket.chat == chat ? Optional.of(ticket) : Optional.empty();
    }

    private static byte[] mac(byte[] key, byte[] body) {
        try {
            Mac m = Mac.getInstance(ALGORITHM);
            m.init(new SecretKeySpec(key, ALGORITHM));
            return Arrays.copyOf(m.doFinal(body), MAC_BYTES);
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException("required algorithm is not available: " + ALGORITHM, e);
        }
    }
}
