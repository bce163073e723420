/** The operators' declared configuration and its version history. */
package org.forkseam.core.cfg;
