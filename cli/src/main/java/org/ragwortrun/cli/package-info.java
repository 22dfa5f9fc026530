/** The command line and the entry of the program. */
@NullMarked
package org.ragwortrun.cli;

import org.jspecify.annotations.NullMarked;
