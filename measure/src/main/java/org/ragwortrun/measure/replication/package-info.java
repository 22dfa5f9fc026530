/** Measurements of the replicated log on loopback. */
@NullMarked
package org.ragwortrun.measure.replication;

import org.jspecify.annotations.NullMarked;
