/** Forwards requests to origins whose endpoints the router calls directly, without agents. */
@NullMarked
package org.ragwortrun.router.internal.forward;

import org.jspecify.annotations.NullMarked;
