/** Command line for operators. */
package org.forkseam.cli;
