/**
 * Measures budgets in virtual time, with the shard and pool classes of the product.
 *
 * <p>The links between routers, agents and the owner of the budgets are simulated with delay, loss, duplicates and
 * partitions.
 */
@NullMarked
package org.ragwortrun.measure.budgets;

import org.jspecify.annotations.NullMarked;
