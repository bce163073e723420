/** The only way to a target: admission, claims, hand-over, answers kept. */
package org.forkseam.daemon.sidecar;
