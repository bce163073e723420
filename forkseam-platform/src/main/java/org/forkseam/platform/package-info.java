/** Interfaces to the services of the hosting platform. */
package org.forkseam.platform;
