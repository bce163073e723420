/**
 * Cluster state of the router: configuration, targets, shared rows and other routers, kept up to
 * date from the store and by messages between routers.
 */
package org.forkseam.direct.know;
