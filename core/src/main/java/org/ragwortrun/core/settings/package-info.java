/** Checked settings of daemons. */
@NullMarked
package org.ragwortrun.core.settings;

import org.jspecify.annotations.NullMarked;
