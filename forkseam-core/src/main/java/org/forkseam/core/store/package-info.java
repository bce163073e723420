/** Positions and timestamps in the history of the platform's store. */
package org.forkseam.core.store;
