/** Labels and the selectors that choose by them. */
package org.forkseam.core.label;
