/** Parts of the control daemon. */
@NullMarked
package org.ragwortrun.control.internal;

import org.jspecify.annotations.NullMarked;
