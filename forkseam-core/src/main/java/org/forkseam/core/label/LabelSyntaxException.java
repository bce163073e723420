package org.forkseam.core.label;

/** Thrown when a label or selector is malformed. */
public final class LabelSyntaxException extends IllegalArgumentException {
    private static final long serialVersionUID = 1L;

    /** Creates an exception from the offending text and a description of the allowed syntax. */
    public LabelSyntaxException(String text, String allowed) {
        super("found '" + text + "', allowed: " + allowed);
    }
}
