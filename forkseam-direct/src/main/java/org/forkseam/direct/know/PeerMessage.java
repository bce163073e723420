package org.forkseam.direct.know;

import org.forkseam.core.crash.CrashEvent;
import org.forkseam.core.member.Evacuations;
import org.forkseam.core.place.PlacementDone;
import org.forkseam.core.place.PlacementQuery;
import org.forkseam.core.place.PlacementReply;
import org.forkseam.core.share.LoadReading;
import org.forkseam.core.share.PromptHolder;
import org.forkseam.core.share.StreamOrigin;
import org.forkseam.core.share.TargetListDelta;
import org.forkseam.core.store.StorePosition;
import org.forkseam.core.store.StoreTimestamp;
import org.forkseam.core.traffic.ConfigChange;
import org.forkseam.direct.spi.SharedRow;

import java.util.List;
import java.util.Optional;

/** Message that routers exchange in datagrams. Immutable. */
sealed interface PeerMessage
        permits PeerNotice,
                PeerMessage.Operators,
                PeerMessage.Config,
                PeerMessage.Targets,
                PeerMessage.Rows,
                PeerMessage.StreamOrigins,
                PeerMessage.StreamQuery,
                PeerMessage.RecordStreams,
                PeerMessage.StreamsRecorded,
                PeerMessage.PlacePrompt,
                PeerMessage.PlacementAnswer,
                PeerMessage.PromptPlaced,
                PeerMessage.Observations {
    /**
     * Returns the store position at which the content was read; empty if it was not read from the
     * store.
     */
    default Optional<StorePosition> storePosition() {
        return Optional.empty();
    }

    /**
     * Announces the operators' state as just read. Holds only the version of the configuration;
     * {@link Config} carries its changes.
     *
     * @param readAt the store's steady clock at the read, in milliseconds
     * @param position store position of the read
     * @param version version of the configuration
     * @param fingerprint hash of the evacuated failure domains
     * @param evacuated these domains; empty if they do not fit into a datagram, which the
     *     fingerprint reveals
     */
    record Operators(
            long readAt,
            StorePosition position,
            long version,
            long fingerprint,
            List<String> evacuated)
            implements PeerMessage {
        StoreTimestamp readTime() {
            return StoreTimestamp.of(position.era(), readAt);
        }

        @Override
        public Optional<StorePosition> storePosition() {
            return Optional.of(position);
        }

        /** Returns whether the message lists all evacuated domains. */
        boolean isComplete() {
            return Evacuations.fingerprint(evacuated) == fingerprint;
        }

        /** Returns a copy without the domains. */
        Operators withoutDomains() {
            return new Operators(readAt, position, version, fingerprint, List.of());
        }
    }

    /**
     * Carries the changes of a newer configuration.
     *
     * @param change the changes
     */
    record Config(ConfigChange change) implements PeerMessage {}

    /**
     * Carries the changes of a newer list of targets, just read.
     *
     * @param delta the changes, or a part of them
     */
    record Targets(TargetListDelta delta) implements PeerMessage {
        @Override
        public Optional<StorePosition> storePosition() {
            return Optional.of(delta.position());
        }
    }

    /**
     * Carries changed shared rows, either just read or just written.
     *
     * @param readAt the store's steady clock at the read, in milliseconds
     * @param since a receiver that knows the rows at this position, or a later one of its era,
     *     misses nothing; after a restore of the store, only a receiver at exactly this position
     * @param until position known after this message; {@link StorePosition#NONE} if the sender
     *     wrote the row
     * @param complete whether all rows that changed in between are included; otherwise the receiver
     *     has to read them
     * @param rows the changed rows
     */
    record Rows(
            long readAt,
            StorePosition since,
            StorePosition until,
            boolean complete,
            List<SharedRow> rows)
            implements PeerMessage {
        /** Returns the message that announces a row just written. */
        static Rows ofWrite(SharedRow row) {
            return new Rows(0, StorePosition.NONE, StorePosition.NONE, true, List.of(row));
        }

        /** Returns whether the sender wrote the row rather than read it. */
        boolean isWriteNotice() {
            return until.equals(StorePosition.NONE);
        }

        StoreTimestamp readTime() {
            return StoreTimestamp.of(until.era(), readAt);
        }

        @Override
        public Optional<StorePosition> storePosition() {
            return isWriteNotice()
                    ? rows.stream().map(SharedRow::position).findFirst()
                    : Optional.of(until);
        }
    }

    /**
     * Reports which software began streams, or answers a {@link StreamQuery}.
     *
     * @param origins the streams
     */
    record StreamOrigins(List<StreamOrigin> origins) implements PeerMessage {}

    /**
     * Asks which software began a stream.
     *
     * @param stream hash of the id of the request that began it
     * @param pool the stream's pool; empty if its origin may not be inferred
     */
    record StreamQuery(long stream, String pool) implements PeerMessage {}

    /**
     * Asks a router to record streams whose recorder has not confirmed that it has recorded them.
     *
     * @param origins the streams
     */
    record RecordStreams(List<StreamOrigin> origins) implements PeerMessage {}

    /**
     * Confirms to a router that streams that it has reported are recorded.
     *
     * @param streams hashes of the streams
     */
    record StreamsRecorded(List<Long> streams) implements PeerMessage {}

    /**
     * Asks the coordinator of a group of engines to place a prompt.
     *
     * @param query the prompt
     */
    record PlacePrompt(PlacementQuery query) implements PeerMessage {}

    /**
     * Answers a {@link PlacePrompt}.
     *
     * @param reply the selected engine
     */
    record PlacementAnswer(PlacementReply reply) implements PeerMessage {}

    /**
     * Reports the end of a placed prompt's prefill to its coordinator.
     *
     * @param done the report
     */
    record PromptPlaced(PlacementDone done) implements PeerMessage {}

    /**
     * Carries observations from targets' responses.
     *
     * @param loads newest load readings
     * @param holders targets that have processed a prompt, where the shard table does not imply it
     * @param crashes crashes of targets and the requests they were processing
     * @param leaving short hashes of target incarnations that have announced to leave
     */
    record Observations(
            List<LoadReading> loads,
            List<PromptHolder> holders,
            List<CrashEvent> crashes,
            List<Integer> leaving)
            implements PeerMessage {}
}
