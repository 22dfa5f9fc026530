/** Command line interface and entry point of the program. */
@NullMarked
package org.ragwortrun.cli;

import org.jspecify.annotations.NullMarked;
