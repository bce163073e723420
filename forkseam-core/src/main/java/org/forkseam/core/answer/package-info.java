/** Framing of responses between sidecars and routers. */
package org.forkseam.core.answer;
