/** The daemon: one program with a role. */
package org.forkseam.daemon;
