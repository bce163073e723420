/** What an adapter brings: how callers, targets and the source of knowledge speak. */
package org.forkseam.direct.spi;
