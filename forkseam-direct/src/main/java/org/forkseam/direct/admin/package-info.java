/** HTTP endpoints for readiness, metrics and the state dump. */
package org.forkseam.direct.admin;
