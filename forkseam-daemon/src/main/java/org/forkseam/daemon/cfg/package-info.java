/** Settings of a daemon, read from an INI file and validated. */
package org.forkseam.daemon.cfg;
