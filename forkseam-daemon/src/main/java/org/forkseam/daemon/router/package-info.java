/** The entry: callers' requests, attempts at targets, answers. */
package org.forkseam.daemon.router;
