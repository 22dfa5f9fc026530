/** State and rules of the agent. All aggregates belong to one thread, the request duty. */
@NullMarked
package org.ragwortrun.agent.internal;

import org.jspecify.annotations.NullMarked;
