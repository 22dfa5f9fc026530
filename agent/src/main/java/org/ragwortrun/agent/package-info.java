/** The agent daemon, which controls access to one endpoint. */
@NullMarked
package org.ragwortrun.agent;

import org.jspecify.annotations.NullMarked;
