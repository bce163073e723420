/** Protobuf messaging between daemons over Netty, authenticated by a shared key. */
package org.forkseam.wire;
