package org.forkseam.daemon.router;

import org.forkseam.core.label.Labels;
import org.forkseam.wire.proto.Header;

import java.util.List;
import java.util.OptionalInt;
import java.util.OptionalLong;

/**
 * Holds a caller's request, read and checked.
 *
 * @param id the request's id, the caller's own or a new one
 * @param idGiven whether the caller brought the id
 * @param team the team the caller names
 * @param labels what intents select by
 * @param deadlineMillis time allowed until the answer starts, if the caller set it
 * @param priority if the caller set it
 * @param unrepeatable whether the request may run at most once
 * @param ticket the chat ticket as it came, or empty
 * @param prompt what placement needs of a chat
 * @param forward what goes to the target
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
     * Holds what placement needs of a chat's prompt.
     *
     * @param chat hash of the chat's id
     * @param tokens estimated tokens of the whole prompt
     * @param sharedPrefix hash of the first message, 0 if none
     * @param sharedTokens estimated tokens of the first message
     * @param returning whether the prompt holds earlier answers
     */
    record Prompt(long chat, int tokens, long sharedPrefix, int sharedTokens, boolean returning) {}

    /**
     * Holds what goes to the target.
     *
     * @param chat whether it is a chat, for an engine
     * @param stream whether the answer comes as server-sent events
     * @param stripUsage whether the usage event was asked for by the router alone
     * @param method HTTP method
     * @param path path with query
     * @param headers headers passed on
     * @param body the body
     * @param fingerprint identifies team and content
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
