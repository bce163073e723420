/** Accepts callers' requests, forwards them to targets and returns the responses. */
package org.forkseam.daemon.router;
