/** Routing decisions, without any I/O. */
@NullMarked
package org.ragwortrun.routing;

import org.jspecify.annotations.NullMarked;
