/** Decisions on moves of traffic between versions. */
@NullMarked
package org.ragwortrun.routing.version;

import org.jspecify.annotations.NullMarked;
