/** Raft core, storage and duties of the replicated log. */
@NullMarked
package org.ragwortrun.replication.internal;

import org.jspecify.annotations.NullMarked;
