/** Admission control, queueing and rate limits. */
package org.forkseam.core.admit;
