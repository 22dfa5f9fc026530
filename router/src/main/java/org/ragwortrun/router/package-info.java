/** The router daemon, which serves callers. */
@NullMarked
package org.ragwortrun.router;

import org.jspecify.annotations.NullMarked;
