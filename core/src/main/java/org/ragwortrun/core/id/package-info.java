/** Identifiers and digests. */
@NullMarked
package org.ragwortrun.core.id;

import org.jspecify.annotations.NullMarked;
