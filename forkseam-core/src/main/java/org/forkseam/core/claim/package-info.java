/** Claims that ensure at-most-once execution of unrepeatable requests. */
package org.forkseam.core.claim;
