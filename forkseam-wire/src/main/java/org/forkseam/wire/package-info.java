/** Messages between forkseam's own processes: protobuf over Netty, with proof of a shared key. */
package org.forkseam.wire;
