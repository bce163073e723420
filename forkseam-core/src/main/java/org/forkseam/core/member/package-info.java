/** Which targets there are and how they fare. */
package org.forkseam.core.member;
