/** Aggregates and rules behind the state machines. */
@NullMarked
package org.ragwortrun.ledger.internal;

import org.jspecify.annotations.NullMarked;
