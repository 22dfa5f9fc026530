/** Stand-ins for engines, services, the host list and a faulty network. */
@NullMarked
package org.ragwortrun.standins;

import org.jspecify.annotations.NullMarked;
