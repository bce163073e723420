/**
 * What routers tell each other: values and state machines without network or clock of their own.
 */
package org.forkseam.core.share;
