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

/** Attacks what the router passes on of a caller's headers. */
class RequestReaderTest {
    private static final String URL = "http://127.0.0.1/services/desk/x";

    /** Names of the product's own headers, also of some that it does not know, in mixed case. */
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
    void noOwnHeaderOfTheProductIsPassedOn(@ForAll("ownNames") List<String> names)
            throws BadRequestException {
        HttpRequest.Builder b = HttpRequest.get(URL).withHeader(HttpHeaders.of("X-Own"), "kept");
        for (String n : names) {
            b.withHeader(HttpHeaders.of(n), "forged");
        }
        List<Header> passed = RequestReader.service(b.build(), new byte[0]).forward().headers();
        assertThat(passed.stream().map(Header::getValue).toList()).doesNotContain("forged");
        assertThat(passed.stream().map(h -> h.getName().toLowerCase(Locale.ROOT)).toList())
                .contains("x-own");
    }
}
