/** Deployments and rollout planning. */
package org.forkseam.core.orders;
