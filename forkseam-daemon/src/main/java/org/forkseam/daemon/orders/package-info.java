/** Brings engines to what deployments declare, one holder at a time. */
package org.forkseam.daemon.orders;
