/** Admin HTTP API: health, metrics, state dumps and configuration. */
package org.forkseam.daemon.admin;
