/** Traffic configuration: routes, pools, teams and limits. */
package org.forkseam.core.traffic;
