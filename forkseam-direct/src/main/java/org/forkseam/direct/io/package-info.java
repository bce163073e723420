/** HTTP connections, connection pools and stream encoding. */
package org.forkseam.direct.io;
