/** Components of the router daemon. */
@NullMarked
package org.ragwortrun.router.internal;

import org.jspecify.annotations.NullMarked;
