/** The control daemon, which holds the durable state. */
@NullMarked
package org.ragwortrun.control;

import org.jspecify.annotations.NullMarked;
