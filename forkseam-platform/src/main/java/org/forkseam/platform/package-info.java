/** What the platform gives, each behind one small interface. */
package org.forkseam.platform;
