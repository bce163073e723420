/** Values and state machines of the gossip between routers, without I/O or a clock of their own. */
package org.forkseam.core.share;
