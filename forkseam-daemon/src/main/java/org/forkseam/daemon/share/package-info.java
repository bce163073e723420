/** State of the fleet shared by all daemons: hosts, configuration, load and leases. */
package org.forkseam.daemon.share;
