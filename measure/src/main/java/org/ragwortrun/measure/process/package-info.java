/** Measurements of real processes on loopback addresses. */
@NullMarked
package org.ragwortrun.measure.process;

import org.jspecify.annotations.NullMarked;
