/** Connections to the agents. */
@NullMarked
package org.ragwortrun.router.internal.agents;

import org.jspecify.annotations.NullMarked;
