/** What every daemon knows of the fleet: hosts, configuration, load. */
package org.forkseam.daemon.share;
