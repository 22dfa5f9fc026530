/** Netty handlers of the transport. */
@NullMarked
package org.ragwortrun.net.internal;

import org.jspecify.annotations.NullMarked;
