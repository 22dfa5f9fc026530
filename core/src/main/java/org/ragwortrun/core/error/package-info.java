/** Base types of all checked failures. */
@NullMarked
package org.ragwortrun.core.error;

import org.jspecify.annotations.NullMarked;
