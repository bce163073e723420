/** Sidecar proxy of a target: admission, claims, forwarding and response buffering. */
package org.forkseam.daemon.sidecar;
