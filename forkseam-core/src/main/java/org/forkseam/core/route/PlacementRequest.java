package org.forkseam.core.route;

import java.util.Optional;

/**
 * Holds the properties of a request that placement uses.
 *
 * @param chat hash of the chat's id
 * @param promptTokens estimated tokens of the whole prompt
 * @param sharedPrefix hash of the first message, which is often shared by the chats of a team; 0 if
 *     there is none
 * @param sharedTokens estimated tokens of that message
 * @param hasHistory whether the prompt contains earlier answers
 * @param ticket where the chat was last served, if the client sent a ticket
 */
public record PlacementRequest(
        long chat,
        int promptTokens,
        long sharedPrefix,
        int sharedTokens,
        boolean hasHistory,
        Optional<ChatTicket> ticket) {

    /** Returns a request to a service without prompts. */
    public static PlacementRequest ofService(long key) {
        return new PlacementRequest(key, 0, 0, 0, false, Optional.empty());
    }
}
