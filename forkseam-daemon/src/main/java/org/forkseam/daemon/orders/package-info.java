/** Rolls out declared deployments to engines, with one lease holder per deployment. */
package org.forkseam.daemon.orders;
