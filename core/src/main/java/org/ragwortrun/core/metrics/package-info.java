/** Counters and gauges, exported at a scrape path. */
@NullMarked
package org.ragwortrun.core.metrics;

import org.jspecify.annotations.NullMarked;
