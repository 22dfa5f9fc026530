/** The demonstration that a newcomer runs first. */
@NullMarked
package org.ragwortrun.measure.demo;

import org.jspecify.annotations.NullMarked;
