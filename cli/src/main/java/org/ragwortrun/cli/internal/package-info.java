/** Commands of the program. */
@NullMarked
package org.ragwortrun.cli.internal;

import org.jspecify.annotations.NullMarked;
