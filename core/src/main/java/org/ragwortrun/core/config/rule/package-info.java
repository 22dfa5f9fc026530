/** The rules of the configuration checker, one class per rule. */
@NullMarked
package org.ragwortrun.core.config.rule;

import org.jspecify.annotations.NullMarked;
