package org.forkseam.core.label;

/** Reports a label or selector that cannot be read, with the place and what is allowed. */
public final class LabelSyntaxException extends IllegalArgumentException {
    private static final long serialVersionUID = 1L;

    /** Describes the piece of text at fault and what would have been allowed there. */
    public LabelSyntaxException(String found, String allowed) {
        super("found '" + found + "', allowed: " + allowed);
    }
}
