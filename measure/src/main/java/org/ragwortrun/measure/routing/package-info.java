/** Measures how requests are divided among endpoints of different speed. */
@NullMarked
package org.ragwortrun.measure.routing;

import org.jspecify.annotations.NullMarked;
