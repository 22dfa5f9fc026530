/** Reservation of tokens at the home router of a client account. */
@NullMarked
package org.ragwortrun.router.internal.pool;

import org.jspecify.annotations.NullMarked;
