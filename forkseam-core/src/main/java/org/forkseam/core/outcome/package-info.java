/** What became of a request, and what may be tried again. */
package org.forkseam.core.outcome;
