/** Whole answers out of frames. */
package org.forkseam.core.answer;
