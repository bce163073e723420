package org.forkseam.core.place;

/**
 * Answers a {@link PlacementQuery}.
 *
 * @param id identifies the placement
 * @param engine short hash of the engine; {@link #NONE} if the coordinator knows no engine
 * @param copySource short hash of the engine from which the prompt is copied; {@link #NONE} if none
 * @since 0.8
 */
public record PlacementReply(long id, int engine, int copySource) {
    /** Stands for no engine; short hashes are not zero. */
    public static final int NONE = 0;
}
