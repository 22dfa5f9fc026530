/** Measurement of version moves on generated traffic and faults. */
@NullMarked
package org.ragwortrun.measure.version;

import org.jspecify.annotations.NullMarked;
