/** Detection and quarantine of requests that crash targets. */
package org.forkseam.core.crash;
