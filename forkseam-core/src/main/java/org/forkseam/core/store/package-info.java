/** What is known of the history of the platform's store: values without network or clock. */
package org.forkseam.core.store;
