package org.forkseam.core.share;

import static com.google.common.truth.Truth.assertThat;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;

import org.junit.jupiter.api.Test;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;

/** Tests the records of streams in the store. */
class StreamOriginCodecTest {
    private static List<StreamOrigin> origins(SplittableRandom random) {
        List<StreamOrigin> origins = new ArrayList<>();
        for (int i = random.nextInt(50); i >= 0; i--) {
            origins.add(new StreamOrigin(random.nextLong(), 1 + random.nextLong(4)));
        }
        return origins;
    }

    @Property(tries = 100)
    void decodesWhatWasEncoded(@ForAll @LongRange(min = 1, max = 1_000_000) long seed) {
        List<StreamOrigin> origins = origins(new SplittableRandom(seed));
        assertThat(StreamOriginCodec.decode(StreamOriginCodec.encode(origins))).hasValue(origins);
    }

    /** Guards against an origin that is read from a record that was cut short. */
    @Property(tries = 100)
    void partOfARecordHasNoOtherOrigins(@ForAll @LongRange(min = 1, max = 1_000_000) long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        List<StreamOrigin> origins = origins(random);
        byte[] whole = StreamOriginCodec.encode(origins);
        byte[] part = Arrays.copyOf(whole, random.nextInt(whole.length));
        List<StreamOrigin> read = StreamOriginCodec.decode(part).orElse(List.of());
        assertThat(origins).containsAtLeastElementsIn(read);
    }

    /** Guards against an exception on records of another format. */
    @Test
    void otherFormatsAreRefused() {
        byte[] other = StreamOriginCodec.encode(List.of(new StreamOrigin(1, 2)));
        other[0]++;
        assertThat(StreamOriginCodec.decode(other)).isEmpty();
        assertThat(StreamOriginCodec.decode(new byte[0])).isEmpty();
        byte[] index = StreamOriginCodec.encode(List.of(new StreamOrigin(1, 2)));
        index[index.length - 1] = 1;
        assertThat(StreamOriginCodec.decode(index)).isEmpty();
    }
}
