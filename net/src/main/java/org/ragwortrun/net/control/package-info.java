/** Clients of the control daemon, for routers, agents and operators. */
@NullMarked
package org.ragwortrun.net.control;

import org.jspecify.annotations.NullMarked;
