/** Load reports of targets and the load bound. */
package org.forkseam.core.load;
