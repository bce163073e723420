/** What a sidecar lets in, in which order, and what it refuses. */
package org.forkseam.core.admit;
