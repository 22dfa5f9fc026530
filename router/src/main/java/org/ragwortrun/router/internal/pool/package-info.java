/** Reservations of client accounts' tokens at the home of the account, another router. */
@NullMarked
package org.ragwortrun.router.internal.pool;

import org.jspecify.annotations.NullMarked;
