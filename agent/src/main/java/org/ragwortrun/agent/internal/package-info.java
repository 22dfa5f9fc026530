/** State and rules of the agent. Only the request thread accesses the state of requests. */
@NullMarked
package org.ragwortrun.agent.internal;

import org.jspecify.annotations.NullMarked;
