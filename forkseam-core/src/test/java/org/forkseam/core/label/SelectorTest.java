package org.forkseam.core.label;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests matching and syntax errors of label selectors. */
class SelectorTest {
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "*                          | true",
                "model=lm                   | true",
                "model==lm                  | true",
                "model=other                | false",
                "model!=other               | true",
                "missing!=x                 | true",
                "model in (a,lm)            | true",
                "model in (a,b)             | false",
                "model notin (a,b)          | true",
                "missing notin (a)          | true",
                "missing in (a)             | false",
                "tier                       | true",
                "!tier                      | false",
                "!missing                   | true",
                "model=lm,tier in (x,gold)  | true",
                "model=lm,!tier             | false"
            })
    void matches(String selector, boolean expected) {
        Labels labels = Labels.parse("model=lm,tier=gold");
        assertThat(Selector.parse(selector).matches(labels)).isEqualTo(expected);
    }

    @ParameterizedTest
    @ValueSource(strings = {"a b", "a in b", "=x", "a=b c", "a,,b", "a in (b", "-a"})
    void malformedSelectorIsRejected(String selector) {
        LabelSyntaxException e =
                assertThrows(LabelSyntaxException.class, () -> Selector.parse(selector));
        assertThat(e).hasMessageThat().contains("allowed");
    }
}
