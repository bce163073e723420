package org.forkseam.daemon.router;

import static com.google.common.truth.Truth.assertThat;

import io.activej.http.HttpHeaders;
import io.activej.http.HttpRequest;

import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;

import org.forkseam.wire.proto.Header;

import java.util.List;
import java.util.Locale;

/** Guards against callers forging Forkseam headers towards targets. */
class RequestReaderTest {
    private static final String URL = "http://127.0.0.1/services/desk/x";

    /** Known and unknown Forkseam header names in mixed case. */
    @Provide
    Arbitrary<List<String>> ownNames() {
        return Arbitraries.of("forkseam-", "Forkseam-", "FORKSEAM-", "fOrKsEaM-")
                .flatMap(
                        p ->
                                Arbitraries.of("Outcome", "target", "ATTEMPTS", "why", "x-new")
                                        .map(n -> p + n))
                .list()
                .ofMinSize(1)
                .ofMaxSize(8);
    }

    @Property(seed = "4713")
    void forkseamHeadersAreNotForwarded(@ForAll("ownNames") List<String> names)
            throws BadRequestException {
        HttpRequest.Builder b = HttpRequest.get(URL).withHeader(HttpHeaders.of("X-Own"), "kept");
        for (String n : names) {
            b.withHeader(HttpHeaders.of(n), "forged");
        }
        List<Header> forwarded = RequestReader.service(b.build(), new byte[0]).forward().headers();
        assertThat(forwarded.stream().map(Header::getValue).toList()).doesNotContain("forged");
        assertThat(forwarded.stream().map(h -> h.getName().toLowerCase(Locale.ROOT)).toList())
                .contains("x-own");
    }
}
