/** The daemon process, which runs either as a router or as a sidecar. */
package org.forkseam.daemon;
