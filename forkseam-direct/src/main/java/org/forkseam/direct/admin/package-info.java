/** Readiness, metrics and the state dump. */
package org.forkseam.direct.admin;
