/**
 * Measures budgets with real shard and pool objects in virtual time.
 *
 * <p>Only the links between routers, agents and the owner of the budgets are modelled: delay, loss, copies and cuts.
 */
@NullMarked
package org.ragwortrun.measure.budgets;

import org.jspecify.annotations.NullMarked;
