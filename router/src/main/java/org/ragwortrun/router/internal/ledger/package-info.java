/** Calls to the shard groups. */
@NullMarked
package org.ragwortrun.router.internal.ledger;

import org.jspecify.annotations.NullMarked;
