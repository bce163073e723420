/** Finds the requests under which targets end, and keeps them from further targets. */
package org.forkseam.core.crash;
