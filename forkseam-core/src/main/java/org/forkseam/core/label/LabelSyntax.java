package org.forkseam.core.label;

import java.util.regex.Pattern;

/** Validates label names and values. */
final class LabelSyntax {
    private static final Pattern NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._/-]{0,62}");
    private static final Pattern VALUE = Pattern.compile("[A-Za-z0-9._:/-]{0,128}");

    private LabelSyntax() {}

    static String checkName(String name) {
        if (!NAME.matcher(name).matches()) {
            throw new LabelSyntaxException(
                    name, "a label name: a letter or digit, then up to 62 of A-Z a-z 0-9 . _ / -");
        }
        return name;
    }

    static String checkValue(String value) {
        if (!VALUE.matcher(value).matches()) {
            throw new LabelSyntaxException(
                    value, "a label value: up to 128 of A-Z a-z 0-9 . _ : / -");
        }
        return value;
    }
}
