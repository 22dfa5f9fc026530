/** Budgets, bills, router sessions and the request register. */
@NullMarked
package org.ragwortrun.ledger;

import org.jspecify.annotations.NullMarked;
