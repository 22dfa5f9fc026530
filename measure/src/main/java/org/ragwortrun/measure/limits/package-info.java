/** Measures how routers keep together to the limits that endpoints name, and how much of the limits they use. */
@NullMarked
package org.ragwortrun.measure.limits;

import org.jspecify.annotations.NullMarked;
