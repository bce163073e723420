/** Routers that forward HTTP requests directly to targets, without a sidecar. */
package org.forkseam.direct;
