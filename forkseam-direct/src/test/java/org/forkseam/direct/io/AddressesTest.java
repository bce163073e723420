package org.forkseam.direct.io;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests the parsing of addresses. */
class AddressesTest {
    @Test
    void validAddressIsParsed() {
        assertThat(Addresses.parse("10.1.2.3:80").toString()).isEqualTo("/10.1.2.3:80");
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "host:80",
                "10.1.2:80",
                "10.1.2.300:80",
                "10.1.2.3",
                "10.1.2.3:x",
                "10.1.2.3:70000"
            })
    void malformedAddressIsRejected(String text) {
        Throwable e = assertThrows(IllegalArgumentException.class, () -> Addresses.parse(text));
        assertThat(e).hasMessageThat().contains("address " + text);
    }
}
