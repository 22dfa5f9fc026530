/** Data structures and rules of the ledger's state machines and of the grant pool. */
@NullMarked
package org.ragwortrun.ledger.internal;

import org.jspecify.annotations.NullMarked;
