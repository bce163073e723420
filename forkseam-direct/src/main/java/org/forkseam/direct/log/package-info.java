/** Structured, non-blocking logging. */
package org.forkseam.direct.log;
