/** What engines should run, and which steps lead there. */
package org.forkseam.core.orders;
