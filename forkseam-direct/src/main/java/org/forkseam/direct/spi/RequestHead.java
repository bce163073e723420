package org.forkseam.direct.spi;

import org.forkseam.core.traffic.Prompt;

import java.util.Optional;
import java.util.OptionalLong;

/**
 * Decoded head of a caller's request. Immutable.
 *
 * @param requestId the request id
 * @param timeoutMillis how long the caller waits for the response
 * @param key the caller's key
 * @param prompt the prompt, for requests to model engines
 * @param lastEventId the last event received by a caller that resumes a stream
 * @param resumes id of the request whose response began that stream
 * @param malformed name of a malformed field, if any
 * @since 0.2
 */
public record RequestHead(
        Optional<String> requestId,
        OptionalLong timeoutMillis,
        Optional<String> key,
        Optional<Prompt> prompt,
        Optional<String> lastEventId,
        Optional<String> resumes,
        Optional<String> malformed) {}
