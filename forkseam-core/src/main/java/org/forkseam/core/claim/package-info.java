/** At most one run of an unrepeatable request. */
package org.forkseam.core.claim;
