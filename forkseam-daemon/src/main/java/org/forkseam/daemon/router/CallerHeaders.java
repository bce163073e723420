package org.forkseam.daemon.router;

import io.activej.http.HttpHeader;
import io.activej.http.HttpHeaders;

/** HTTP headers exchanged between callers and routers. */
final class CallerHeaders {
    static final String PREFIX = "forkseam-";
    static final HttpHeader REQUEST_ID = HttpHeaders.register("Forkseam-Request-Id");
    static final HttpHeader CHAT_ID = HttpHeaders.register("Forkseam-Chat-Id");
    static final HttpHeader TEAM = HttpHeaders.register("Forkseam-Team");
    static final HttpHeader DEADLINE_MS = HttpHeaders.register("Forkseam-Deadline-Ms");
    static final HttpHeader PRIORITY = HttpHeaders.register("Forkseam-Priority");
    static final HttpHeader UNREPEATABLE = HttpHeaders.register("Forkseam-Unrepeatable");
    static final HttpHeader ISSUED_AT = HttpHeaders.register("Forkseam-Issued-At-Ms");
    static final HttpHeader TICKET = HttpHeaders.register("Forkseam-Ticket");
    static final HttpHeader LABELS = HttpHeaders.register("Forkseam-Labels");
    static final HttpHeader OUTCOME = HttpHeaders.register("Forkseam-Outcome");
    static final HttpHeader TARGET = HttpHeaders.register("Forkseam-Target");
    static final HttpHeader ATTEMPTS = HttpHeaders.register("Forkseam-Attempts");
    static final HttpHeader WHY = HttpHeaders.register("Forkseam-Why");
    static final HttpHeader REUSED = HttpHeaders.register("Forkseam-Reused-Tokens");
    static final HttpHeader RETRY_AFTER_MS = HttpHeaders.register("Forkseam-Retry-After-Ms");

    private CallerHeaders() {}
}
