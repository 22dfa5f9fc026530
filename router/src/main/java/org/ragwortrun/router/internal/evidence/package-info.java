/** Request outcomes, latencies and crashes reported to the meta leader, which moves traffic between versions. */
@NullMarked
package org.ragwortrun.router.internal.evidence;

import org.jspecify.annotations.NullMarked;
