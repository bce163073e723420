package org.forkseam.direct.know;

import org.forkseam.core.crash.CrashFact;
import org.forkseam.core.member.Evacuations;
import org.forkseam.core.share.LoadReading;
import org.forkseam.core.share.PromptHolder;
import org.forkseam.core.share.TargetListDelta;
import org.forkseam.core.store.StorePosition;
import org.forkseam.core.store.StoreTime;
import org.forkseam.core.traffic.ConfigChange;
import org.forkseam.direct.spi.SharedRow;

import java.util.List;
import java.util.Optional;

/** Is what routers tell each other in datagrams. */
sealed interface PeerMessage
        permits PeerNotice,
                PeerMessage.Operators,
                PeerMessage.Config,
                PeerMessage.Targets,
                PeerMessage.Rows,
                PeerMessage.Learned {
    /** Returns where in the store's history the news were read, if they were read there. */
    default Optional<StorePosition> storePosition() {
        return Optional.empty();
    }

    /**
     * Tells what operators have written, as it has just been read. Of the configuration only the
     * version: what changed is told by itself.
     *
     * @param readAt the store's own steady clock when it was read, in milliseconds
     * @param position in the store's history when it was read
     * @param version of the configuration
     * @param fingerprint of the evacuated failure domains
     * @param evacuated these domains; none if they are too many for a message, which the
     *     fingerprint then shows
     */
    record Operators(
            long readAt,
            StorePosition position,
            long version,
            long fingerprint,
            List<String> evacuated)
            implements PeerMessage {
        /** Returns when it was read. */
        StoreTime readTime() {
            return StoreTime.of(position.era(), readAt);
        }

        @Override
        public Optional<StorePosition> storePosition() {
            return Optional.of(position);
        }

        /** Returns whether the message holds all evacuated domains. */
        boolean isWhole() {
            return Evacuations.fingerprint(evacuated) == fingerprint;
        }

        /** Returns the same message without the domains. */
        Operators withoutDomains() {
            return new Operators(readAt, position, version, fingerprint, List.of());
        }
    }

    /**
     * Tells what a newer configuration changed.
     *
     * @param change the change
     */
    record Config(ConfigChange change) implements PeerMessage {}

    /**
     * Tells what a newer list of targets changed, and that it has just been read.
     *
     * @param news the change, or a step of it
     */
    record Targets(TargetListDelta news) implements PeerMessage {
        @Override
        public Optional<StorePosition> storePosition() {
            return Optional.of(news.position());
        }
    }

    /**
     * Tells of shared rows, and that they have just been read.
     *
     * @param readAt the store's own steady clock when they were read, in milliseconds
     * @param since whoever knows the rows as of this position, or of a later one of its era, misses
     *     nothing; if the store has come back since, only whoever knows just this
     * @param until the position that is known with this message; {@link StorePosition#NONE} if its
     *     sender tells of a row that it has written
     * @param whole whether all rows that changed in between are here; else they are to be read
     * @param rows those that changed
     */
    record Rows(
            long readAt,
            StorePosition since,
            StorePosition until,
            boolean whole,
            List<SharedRow> rows)
            implements PeerMessage {
        /** Tells of a row that was just written. */
        static Rows written(SharedRow row) {
            return new Rows(0, StorePosition.NONE, StorePosition.NONE, true, List.of(row));
        }

        /** Returns whether its sender has written the row. */
        boolean isWritten() {
            return until.equals(StorePosition.NONE);
        }

        /** Returns when the rows were read. */
        StoreTime readTime() {
            return StoreTime.of(until.era(), readAt);
        }

        @Override
        public Optional<StorePosition> storePosition() {
            return isWritten()
                    ? rows.stream().map(SharedRow::position).findFirst()
                    : Optional.of(until);
        }
    }

    /**
     * Tells what a router has learned of targets.
     *
     * @param loads what targets told of their load, the newest readings
     * @param holders which have read a prompt that their seats do not tell of
     * @param crashes which have ended, and what they had
     * @param leaving which starts of targets have said that they leave, by their short hashes
     */
    record Learned(
            List<LoadReading> loads,
            List<PromptHolder> holders,
            List<CrashFact> crashes,
            List<Integer> leaving)
            implements PeerMessage {}
}
