/** Duties, rings and the closer. */
@NullMarked
package org.ragwortrun.core.concurrent;

import org.jspecify.annotations.NullMarked;
