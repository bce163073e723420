/** The operators' command line. */
package org.forkseam.cli;
