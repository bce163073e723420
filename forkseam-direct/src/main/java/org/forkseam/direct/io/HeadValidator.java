package org.forkseam.direct.io;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpConstants;

import java.util.Optional;

/**
 * Validates the lines of response heads more strictly than the decoder, which forgives much. A head
 * that begins within another one, as behind a part of a surplus response, is not accepted, nor is a
 * line that readers understand differently. Used on the event loop.
 */
final class HeadValidator {
    private static final String VERSIONS = "01";
    private static final String VERSION = "HTTP/1.";
    private static final int STATUS_LINE_MIN_LENGTH = "HTTP/1.1 200".length();
    private static final int DELETE = 0x7f;
    private static final String NAME_SYMBOLS = "!#$%&'*+-.^_`|~";

    private final StatusLineFinder mFinder = new StatusLineFinder();
    private boolean mInHead;

    /**
     * Validates whole lines of a head.
     *
     * @return what is wrong with the first malformed one
     */
    Optional<String> validate(ByteBuf bytes, int from, int to) {
        int start = from;
        while (start < to) {
            int lf = bytes.indexOf(start, to, HttpConstants.LF);
            int end = lf < 0 ? to : lf;
            int textEnd = end > start && bytes.getByte(end - 1) == HttpConstants.CR ? end - 1 : end;
            Optional<String> fault = validateLine(bytes, start, textEnd);
            if (fault.isPresent()) {
                return fault;
            }
            start = end + 1;
        }
        return Optional.empty();
    }

    private Optional<String> validateLine(ByteBuf bytes, int start, int end) {
        if (start == end) {
            mInHead = false; // the blank line of a head, or an empty line before one
            return Optional.empty();
        }
        for (int i = start; i < end; i++) {
            if (isControl(bytes.getByte(i))) {
                return Optional.of("control character in the response head");
            }
        }
        int valueStart = mInHead ? nameLength(bytes, start, end) : statusLength(bytes, start, end);
        if (valueStart == 0) {
            return Optional.of(mInHead ? "malformed header line" : "malformed status line");
        }
        mInHead = true;
        mFinder.reset();
        return mFinder.find(bytes, start + valueStart, end)
                ? Optional.of("status line within the response head")
                : Optional.empty();
    }

    private static boolean isControl(byte b) {
        return b >= 0 && b < HttpConstants.SP && b != HttpConstants.HT || b == DELETE;
    }

    /** Returns the length of the version and the status, or 0 if they are malformed. */
    private static int statusLength(ByteBuf bytes, int start, int end) {
        if (end - start < STATUS_LINE_MIN_LENGTH) {
            return 0;
        }
        for (int i = 0; i < VERSION.length(); i++) {
            if (bytes.getByte(start + i) != VERSION.charAt(i)) {
                return 0;
            }
        }
        int i = start + VERSION.length();
        if (VERSIONS.indexOf(bytes.getByte(i++)) < 0 || bytes.getByte(i++) != HttpConstants.SP) {
            return 0;
        }
        int statusEnd = start + STATUS_LINE_MIN_LENGTH;
        for (; i < statusEnd; i++) {
            if (!isDigit(bytes.getByte(i))) {
                return 0;
            }
        }
        boolean ends = statusEnd == end || bytes.getByte(statusEnd) == HttpConstants.SP;
        return ends ? STATUS_LINE_MIN_LENGTH : 0;
    }

    /** Returns the length of the name and its colon, or 0 if they are malformed. */
    private static int nameLength(ByteBuf bytes, int start, int end) {
        for (int i = start; i < end; i++) {
            byte b = bytes.getByte(i);
            if (b == HttpConstants.COLON) {
                return i == start ? 0 : i + 1 - start;
            }
            if (!isDigit(b) && !isLetter(b) && NAME_SYMBOLS.indexOf(b) < 0) {
                return 0;
            }
        }
        return 0;
    }

    private static boolean isDigit(byte b) {
        return b >= '0' && b <= '9';
    }

    private static boolean isLetter(byte b) {
        return b >= 'a' && b <= 'z' || b >= 'A' && b <= 'Z';
    }
}
