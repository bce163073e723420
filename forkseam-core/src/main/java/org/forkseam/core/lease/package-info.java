/** Who may act for the fleet, and fences that keep former holders out. */
package org.forkseam.core.lease;
