/** Rules that a caller's request must pass. */
@NullMarked
package org.ragwortrun.router.internal.request;

import org.jspecify.annotations.NullMarked;
