/** Typed refusals of callers' requests. */
@NullMarked
package org.ragwortrun.core.refusal;

import org.jspecify.annotations.NullMarked;
