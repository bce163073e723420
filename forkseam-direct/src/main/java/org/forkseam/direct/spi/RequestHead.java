package org.forkseam.direct.spi;

import org.forkseam.core.traffic.Prompt;

import java.util.Optional;
import java.util.OptionalLong;

/**
 * Holds what the head of a caller's request says, decoded.
 *
 * @param requestId names the request
 * @param waitMillis how long the caller waits for the answer
 * @param key the caller's key
 * @param prompt the prompt, for requests to model engines
 * @param lastEventId the last event the caller has, when it resumes a stream
 * @param malformed name of a field that cannot be read, if there is one
 * @since 0.2
 */
public record RequestHead(
        Optional<String> requestId,
        OptionalLong timeoutMillis,
        Optional<String> key,
        Optional<Prompt> prompt,
        Optional<String> lastEventId,
        Optional<String> malformed) {}
