/** Where a request goes: homes, tickets, scores and the order of tries. */
package org.forkseam.core.route;
