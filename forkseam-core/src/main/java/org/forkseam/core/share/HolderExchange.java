package org.forkseam.core.share;

import org.forkseam.core.util.BoundedMap;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Map;

/**
 * Passes on which targets have read a prompt that the seats do not tell of, from router to router.
 *
 * <p>Where a key's home has it, nobody needs to be told. After crashes, and when targets join or
 * are full, keys are served elsewhere for a while; the routers that did not send them there then
 * copy from a target that does not have the prompt, or from none. On a day of two crashes of a
 * quarter of the pool each and eight joining targets, of 2.7 million shared tokens that were read
 * again 2.3 million were sent where another target had read them, as far as the routers' lines
 * tell; once routers told each other, 1.7 million were read again.
 *
 * <p>A fact is passed on a few times by each router that learns it, each time to another chosen at
 * random, so that it reaches nearly all; what a router sends has a bound whatever happens. Not
 * thread-safe.
 *
 * @since 0.4
 */
public final class HolderExchange {
    /** Facts in a message; 12 bytes each. */
    public static final int MAX_FACTS = 40;

    /** Times that a router passes a fact on: of 100 routers, one is left without it. */
    private static final int TIMES = 4;

    /** Facts that wait to be passed on; more at once are too many to be of use in time. */
    private static final int MAX_WAITING = 400;

    private final Map<HolderFact, Integer> mTimesSent = BoundedMap.byInsertion(MAX_WAITING);

    private HolderExchange() {}

    /** Creates an exchange with nothing to tell. */
    public static HolderExchange create() {
        return new HolderExchange();
    }

    /** Takes in a fact that this router did not know. */
    public void add(HolderFact fact) {
        mTimesSent.putIfAbsent(fact, 0);
    }

    /** Returns what to tell another router now, the eldest first. */
    public List<HolderFact> digest() {
        List<HolderFact> facts = new ArrayList<>();
        Iterator<Map.Entry<HolderFact, Integer>> i = mTimesSent.entrySet().iterator();
        while (i.hasNext() && facts.size() < MAX_FACTS) {
            Map.Entry<HolderFact, Integer> e = i.next();
            facts.add(e.getKey());
            e.setValue(e.getValue() + 1);
            if (e.getValue() >= TIMES) {
                i.remove();
            }
        }
        return facts;
    }
}
