/** Measures what callers of forwarding routers get when endpoints answer twice, cut their answers or garble them. */
@NullMarked
package org.ragwortrun.measure.answers;

import org.jspecify.annotations.NullMarked;
