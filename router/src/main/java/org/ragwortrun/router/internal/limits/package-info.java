/** Permits for requests to endpoints that name a limit for all routers together. */
@NullMarked
package org.ragwortrun.router.internal.limits;

import org.jspecify.annotations.NullMarked;
