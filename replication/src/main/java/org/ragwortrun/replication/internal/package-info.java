/** Raft core, storage and threads of the replicated log. */
@NullMarked
package org.ragwortrun.replication.internal;

import org.jspecify.annotations.NullMarked;
