/** The way of one request from the caller to its final answer. */
package org.forkseam.direct.flow;
