/** Services that start, stop and find each other by name. */
package org.forkseam.core.kernel;
