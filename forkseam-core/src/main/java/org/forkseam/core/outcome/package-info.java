/** Outcomes of requests, retry policy and retry budgets. */
package org.forkseam.core.outcome;
