package org.forkseam.direct.know;

import org.forkseam.core.share.HolderFact;
import org.forkseam.core.share.LoadReading;
import org.forkseam.core.share.TargetNews;
import org.forkseam.direct.spi.SharedRow;

import java.util.List;

/** Is what routers tell each other in datagrams. */
sealed interface PeerMessage
        permits PeerNotice, PeerMessage.Targets, PeerMessage.Rows, PeerMessage.Learned {
    /**
     * Tells what a newer list of targets changed, and that it has just been read.
     *
     * @param news the change
     */
    record Targets(TargetNews news) implements PeerMessage {}

    /**
     * Tells of shared rows, and that they have just been read.
     *
     * @param readAt the store's own steady clock when they were read, in milliseconds
     * @param since whoever knows the rows as of this revision, or of a later one, misses nothing
     * @param until the revision that is known with this message
     * @param whole whether all rows that changed in between are here; else they are to be read
     * @param rows those that changed
     */
    record Rows(long readAt, long since, long until, boolean whole, List<SharedRow> rows)
            implements PeerMessage {}

    /**
     * Tells what a router has learned of targets.
     *
     * @param loads what targets told of their load, the newest readings
     * @param holders which have read a prompt that their seats do not tell of
     */
    record Learned(List<LoadReading> loads, List<HolderFact> holders) implements PeerMessage {}
}
