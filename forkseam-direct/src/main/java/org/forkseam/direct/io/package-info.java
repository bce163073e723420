/** Sockets and connections: bytes in, bytes out, typed ends. */
package org.forkseam.direct.io;
