/** Routing decisions, free of input and output. */
@NullMarked
package org.ragwortrun.routing;

import org.jspecify.annotations.NullMarked;
