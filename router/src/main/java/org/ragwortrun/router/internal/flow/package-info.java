/** Steps of one request. */
@NullMarked
package org.ragwortrun.router.internal.flow;

import org.jspecify.annotations.NullMarked;
