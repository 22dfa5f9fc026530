/** Replicated log with snapshots, elections, leases and membership. */
@NullMarked
package org.ragwortrun.replication;

import org.jspecify.annotations.NullMarked;
