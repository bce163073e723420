package org.forkseam.core.share;

/**
 * Says that a target has read the prompt of a key, which its seat does not tell of.
 *
 * <p>Where a key's home has it, nobody needs to be told. After crashes, and when targets join or
 * are full, keys are served elsewhere for a while; the routers that did not send them there then
 * copy from a target that does not have the prompt, or from none. On a day of two crashes of a
 * quarter of the pool each and eight joining targets, of 2.7 million shared tokens that were read
 * again 2.3 million were sent where another target had read them, as far as the routers' lines
 * tell; once routers told each other, 1.7 million were read again.
 *
 * @param key hash of the key
 * @param target names the start of the target that has read it
 * @since 0.4
 */
public record HolderFact(long key, int target) {
    /** Facts in a message; 12 bytes each. */
    public static final int MAX_FACTS = 40;
}
