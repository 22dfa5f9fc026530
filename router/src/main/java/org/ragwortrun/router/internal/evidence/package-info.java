/** Counts for the move controller. */
@NullMarked
package org.ragwortrun.router.internal.evidence;

import org.jspecify.annotations.NullMarked;
