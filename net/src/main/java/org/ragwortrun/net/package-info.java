/** Transport of frames between the processes over TCP. */
@NullMarked
package org.ragwortrun.net;

import org.jspecify.annotations.NullMarked;
