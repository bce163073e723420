/** Test doubles of engines, services and the platform, with fault injection. */
package org.forkseam.standin;
