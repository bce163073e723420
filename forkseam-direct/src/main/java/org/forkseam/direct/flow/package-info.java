/** Request processing from the caller's connection to the final response. */
package org.forkseam.direct.flow;
