/** Slopes from which the cost at the planned size is worked out. */
@NullMarked
package org.ragwortrun.measure.capacity;

import org.jspecify.annotations.NullMarked;
