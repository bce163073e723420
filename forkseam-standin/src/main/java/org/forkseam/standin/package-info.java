/** Small stand-ins of engines, services and the platform, with faults switched by call. */
package org.forkseam.standin;
