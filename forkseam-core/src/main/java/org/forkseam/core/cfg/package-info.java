/** The operators' declared configuration and its one sequence of versions. */
package org.forkseam.core.cfg;
