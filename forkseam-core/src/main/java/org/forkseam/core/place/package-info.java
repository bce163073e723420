/** Coordinated placement of prompts on engines without cached prompts. */
package org.forkseam.core.place;
