/** JMH benchmarks. */
@NullMarked
package org.ragwortrun.measure.jmh;

import org.jspecify.annotations.NullMarked;
