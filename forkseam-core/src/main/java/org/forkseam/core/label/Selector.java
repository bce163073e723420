package org.forkseam.core.label;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Predicate;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Matches label sets by equality, set membership and existence.
 *
 * <p>A selector is a comma-separated list of requirements that must all hold: {@code a=b}, {@code
 * a!=b}, {@code a in (b,c)}, {@code a notin (b,c)}, {@code a} (exists) and {@code !a} (does not
 * exist). The empty selector, also written {@code *}, matches everything. Immutable and
 * thread-safe.
 *
 * @since 0.1
 */
public final class Selector {
    private static final Selector ALL = new Selector("*", List.of());
    private static final Pattern SET_REQUIREMENT =
            Pattern.compile("(\\S+)\\s+(in|notin)\\s*\\(([^()]*)\\)", Pattern.CASE_INSENSITIVE);
    private static final String SYNTAX =
            "name=value, name!=value, name in (a,b), name notin (a,b), name, !name";

    private final String mText;
    private final List<Predicate<Labels>> mRequirements;

    private Selector(String text, List<Predicate<Labels>> requirements) {
        mText = text;
        mRequirements = requirements;
    }

    /** Returns the selector that matches everything. */
    public static Selector all() {
        return ALL;
    }

    /**
     * Parses a selector.
     *
     * @throws LabelSyntaxException if a requirement is malformed
     */
    public static Selector parse(String text) {
        String t = text.trim();
        if (t.isEmpty() || t.equals("*")) {
            return ALL;
        }
        List<Predicate<Labels>> requirements = new ArrayList<>();
        for (String part : splitOutsideParentheses(t)) {
            requirements.add(parseRequirement(part.trim()));
        }
        return new Selector(t, List.copyOf(requirements));
    }

    /** Returns whether the labels meet all requirements. */
    public boolean matches(Labels labels) {
        for (Predicate<Labels> r : mRequirements) {
            if (!r.test(labels)) {
                return false;
            }
        }
        return true;
    }

    private static Predicate<Labels> parseRequirement(String part) {
        Matcher m = SET_REQUIREMENT.matcher(part);
        if (m.matches()) {
            return parseSetRequirement(m);
        }
        int ne = part.indexOf("!=");
        if (ne > 0) {
            String name = LabelSyntax.checkName(part.substring(0, ne).trim());
            String value = LabelSyntax.checkValue(part.substring(ne + 2).trim());
            return l -> !value.equals(l.asMap().get(name));
        }
        int eq = part.indexOf('=');
        if (eq > 0) {
            String name = LabelSyntax.checkName(part.substring(0, eq).trim());
            String raw = part.substring(eq + 1);
            String value =
                    LabelSyntax.checkValue((raw.startsWith("=") ? raw.substring(1) : raw).trim());
            return l -> value.equals(l.asMap().get(name));
        }
        if (part.startsWith("!")) {
            String name = LabelSyntax.checkName(part.substring(1).trim());
            return l -> !l.has(name);
        }
        if (part.isEmpty() || part.contains(" ")) {
            throw new LabelSyntaxException(part, SYNTAX);
        }
        String name = LabelSyntax.checkName(part);
        return l -> l.has(name);
    }

    private static Predicate<Labels> parseSetRequirement(Matcher m) {
        String name = LabelSyntax.checkName(m.group(1));
        Set<String> values = new TreeSet<>();
        Arrays.stream(m.group(3).split(","))
                .forEach(v -> values.add(LabelSyntax.checkValue(v.trim())));
        boolean in = m.group(2).equalsIgnoreCase("in");
        return l -> {
            String v = l.asMap().get(name);
            return in == (v != null && values.contains(v));
        };
    }

    private static List<String> splitOutsideParentheses(String text) {
        List<String> parts = new ArrayList<>();
        int depth = 0;
        int start = 0;
        for (int i = 0; i < text.length(); i++) {
            char c = text.charAt(i);
            if (c == '(') {
                depth++;
            } else if (c == ')') {
                depth--;
            } else if (c == ',' && depth == 0) {
                parts.add(text.substring(start, i));
                start = i + 1;
            }
        }
        parts.add(text.substring(start));
        return parts;
    }

    @Override
    public boolean equals(Object o) {
        return o instanceof Selector s && s.mText.equals(mText);
    }

    @Override
    public int hashCode() {
        return mText.hashCode();
    }

    @Override
    public String toString() {
        return mText;
    }
}
