/** Structured log lines, bounded and never blocking. */
package org.forkseam.direct.log;
