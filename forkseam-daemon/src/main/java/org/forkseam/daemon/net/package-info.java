/** Links to other daemons, brought onto the daemon's event loop. */
package org.forkseam.daemon.net;
