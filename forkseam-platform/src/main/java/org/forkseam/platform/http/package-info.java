/** HTTP clients of the platform services. */
package org.forkseam.platform.http;
