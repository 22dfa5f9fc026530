/** Measures how long an acknowledged change of the configuration takes to be in force at all routers. */
@NullMarked
package org.ragwortrun.measure.config;

import org.jspecify.annotations.NullMarked;
