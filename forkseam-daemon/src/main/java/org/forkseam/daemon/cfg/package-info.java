/** Checked settings of a daemon, read from INI. */
package org.forkseam.daemon.cfg;
