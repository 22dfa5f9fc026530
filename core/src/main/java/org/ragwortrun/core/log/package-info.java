/** Structured log events. */
@NullMarked
package org.ragwortrun.core.log;

import org.jspecify.annotations.NullMarked;
