/** What callers get when endpoints leave or ask for time, with and without heed to what they say. */
@NullMarked
package org.ragwortrun.measure.notices;

import org.jspecify.annotations.NullMarked;
