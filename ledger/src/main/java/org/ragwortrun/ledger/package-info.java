/** Budgets, bills and the register of requests. */
@NullMarked
package org.ragwortrun.ledger;

import org.jspecify.annotations.NullMarked;
