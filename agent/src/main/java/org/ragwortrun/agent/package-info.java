/** The agent daemon, which guards one endpoint. */
@NullMarked
package org.ragwortrun.agent;

import org.jspecify.annotations.NullMarked;
