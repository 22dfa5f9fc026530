/** Reading of documents over HTTP. */
@NullMarked
package org.ragwortrun.net.http;

import org.jspecify.annotations.NullMarked;
