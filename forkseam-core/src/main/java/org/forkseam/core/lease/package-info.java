/** Leader election by leases with fencing tokens. */
package org.forkseam.core.lease;
