/** Executors, resource cleanup and process shutdown. */
@NullMarked
package org.ragwortrun.core.concurrent;

import org.jspecify.annotations.NullMarked;
