/** A fleet of real processes on loopback addresses, for demonstrations, tests and measurements. */
@NullMarked
package org.ragwortrun.measure.fleet;

import org.jspecify.annotations.NullMarked;
