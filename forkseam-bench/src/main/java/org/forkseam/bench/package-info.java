/** Whole fleets on one machine against the stand-ins: for the try-out, tests and measurements. */
package org.forkseam.bench;
