package org.forkseam.core.admit;

/** Adapts the share of requests that a router begins to the results that it observes. */
interface ShareController {
    /** Records a request that asks for admission. */
    void onArrived(long now);

    /**
     * Records the result of a request.
     *
     * @param pressure 0 if the result shows no shortage, 1 if the request was late or refused
     * @param answered whether a target answered
     */
    void onResult(double pressure, boolean answered, long now);

    /** Returns the share of requests to begin, between 0 and 1. */
    double share(long now);
}
