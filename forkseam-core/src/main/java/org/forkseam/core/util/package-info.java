/** Clocks, hashes, bounded maps and the decision log. */
package org.forkseam.core.util;
