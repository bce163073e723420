/** Labels and label selectors. */
package org.forkseam.core.label;
