package org.forkseam.daemon.router;

import org.forkseam.core.label.Labels;
import org.forkseam.wire.proto.Header;

import java.util.List;
import java.util.OptionalInt;
import java.util.OptionalLong;

/**
 * A parsed and validated request of a caller. Immutable.
 *
 * @param id request id, generated if the caller sent none
 * @param idGiven whether the caller sent the id
 * @param team team named by the caller
 * @param labels labels that intents match on
 * @param deadlineMillis time allowed until the response starts, if set by the caller
 * @param priority priority, if set by the caller
 * @param unrepeatable whether the request may run at most once
 * @param ticket chat ticket sent by the caller, not yet verified, or empty
 * @param prompt properties of the prompt used for placement
 * @param forward request to send to the target
 */
record CallerRequest(
        String id,
        boolean idGiven,
        String team,
        Labels labels,
        OptionalLong deadlineMillis,
        OptionalInt priority,
        boolean unrepeatable,
        String ticket,
        Prompt prompt,
        Forward forward) {

    /**
     * Properties of a chat's prompt used for placement.
     *
     * @param chat hash identifying the chat
     * @param tokens estimated number of tokens in the prompt
     * @param sharedPrefix hash of the system message, or 0 if there is none
     * @param sharedTokens estimated number of tokens in the system message
     * @param returning whether the prompt contains earlier assistant messages
     */
    record Prompt(long chat, int tokens, long sharedPrefix, int sharedTokens, boolean returning) {}

    /**
     * The request to send to the target.
     *
     * @param chat whether this is a chat completion
     * @param stream whether the response is a stream of server-sent events
     * @param stripUsage whether to remove the usage event, which only the router requested
     * @param method HTTP method
     * @param path path and query
     * @param headers forwarded headers
     * @param body request body
     * @param fingerprint hash of team, path and body, to detect a reused request id
     */
    record Forward(
            boolean chat,
            boolean stream,
            boolean stripUsage,
            String method,
            String path,
            List<Header> headers,
            byte[] body,
            String fingerprint) {}
}
