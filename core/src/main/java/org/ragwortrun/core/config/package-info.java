/** The configuration that operators publish. */
@NullMarked
package org.ragwortrun.core.config;

import org.jspecify.annotations.NullMarked;
