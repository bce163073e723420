/** What operators declare about callers' requests: routes, teams, limits, and the pools behind. */
package org.forkseam.core.traffic;
