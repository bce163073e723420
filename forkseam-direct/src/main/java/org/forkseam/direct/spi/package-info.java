/** Interfaces that an adapter implements, and their data types. */
package org.forkseam.direct.spi;
