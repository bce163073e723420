/** Life cycle of services. */
package org.forkseam.core.kernel;
