/** The direct path: routers that speak HTTP to targets, without a sidecar between. */
package org.forkseam.direct;
