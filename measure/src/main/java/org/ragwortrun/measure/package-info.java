/** Measurements and benchmarks. */
@NullMarked
package org.ragwortrun.measure;

import org.jspecify.annotations.NullMarked;
