/** What targets carry and the bound on it. */
package org.forkseam.core.load;
