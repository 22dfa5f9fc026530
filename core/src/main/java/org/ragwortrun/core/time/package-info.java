/** Clocks that tests can replace. */
@NullMarked
package org.ragwortrun.core.time;

import org.jspecify.annotations.NullMarked;
