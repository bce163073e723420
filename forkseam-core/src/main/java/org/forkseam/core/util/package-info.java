/** The clock and the hashes. */
package org.forkseam.core.util;
