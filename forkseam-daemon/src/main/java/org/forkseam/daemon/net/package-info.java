/** Links to other daemons, served on the daemon's event loop. */
package org.forkseam.daemon.net;
