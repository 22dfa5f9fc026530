/** Admission rules for requests from callers. */
@NullMarked
package org.ragwortrun.router.internal.request;

import org.jspecify.annotations.NullMarked;
