/** Clients of the platform's services over HTTP, by published protocols. */
package org.forkseam.platform.http;
