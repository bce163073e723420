/** Local fleets of daemons and test doubles, for the demo, tests and benchmarks. */
package org.forkseam.bench;
