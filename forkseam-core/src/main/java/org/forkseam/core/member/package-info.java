/** Target membership, availability and health. */
package org.forkseam.core.member;
