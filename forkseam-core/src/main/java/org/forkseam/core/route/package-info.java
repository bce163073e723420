/** Target selection: consistent hashing, load bounds, cache-aware scoring and retry order. */
package org.forkseam.core.route;
