/** What the router knows of configuration, targets and other routers, and how it learns it. */
package org.forkseam.direct.know;
