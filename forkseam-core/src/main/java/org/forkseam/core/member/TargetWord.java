package org.forkseam.core.member;

import java.util.Optional;
import java.util.OptionalLong;

/**
 * Holds what a target says in the head of an answer of whether it wants further requests.
 *
 * @param leaving whether it is about to end
 * @param holdOffMillis for how long it wants nothing more from the router that it answers
 * @param malformed a field that should say one of these and says nothing that could be acted on
 * @since 0.6
 */
public record TargetWord(boolean leaving, OptionalLong holdOffMillis, Optional<String> malformed) {
    /** Is the word of a target that says nothing of it. */
    public static final TargetWord NONE =
            new TargetWord(false, OptionalLong.empty(), Optional.empty());

    /** Returns whether there is anything to take in. */
    public boolean isNone() {
        return !leaving && holdOffMillis.isEmpty() && malformed.isEmpty();
    }
}
