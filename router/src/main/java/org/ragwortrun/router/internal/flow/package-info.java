/** Processing of one admitted request: reservation, claim, dispatch, recovery and answer. */
@NullMarked
package org.ragwortrun.router.internal.flow;

import org.jspecify.annotations.NullMarked;
