/** Load of this host: measurement, refusal of excess requests, and withdrawal from the rotation of the load balancer. */
@NullMarked
package org.ragwortrun.router.internal.host;

import org.jspecify.annotations.NullMarked;
