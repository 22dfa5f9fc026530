/** HTTP front of the router. */
@NullMarked
package org.ragwortrun.router.internal.http;

import org.jspecify.annotations.NullMarked;
