/** The operators' port: health, metrics, dumps, configuration. */
package org.forkseam.daemon.admin;
