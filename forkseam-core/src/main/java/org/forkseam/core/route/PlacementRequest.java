package org.forkseam.core.route;

import java.util.Optional;

/**
 * Holds what placement may know of a request.
 *
 * @param chat hash of the chat's id
 * @param promptTokens estimated tokens of the whole prompt
 * @param sharedPrefix hash of the first message, which chats of one team often share; 0 if none
 * @param sharedTokens estimated tokens of that message
 * @param returning whether the prompt holds earlier answers
 * @param ticket where the chat was last served, if the caller brought it
 */
public record PlacementRequest(
        long chat,
        int promptTokens,
        long sharedPrefix,
        int sharedTokens,
        boolean returning,
        Optional<ChatTicket> ticket) {

    /** Returns a request to a plain service, which has no prompt. */
    public static PlacementRequest ofService(long key) {
        return new PlacementRequest(key, 0, 0, 0, false, Optional.empty());
    }
}
