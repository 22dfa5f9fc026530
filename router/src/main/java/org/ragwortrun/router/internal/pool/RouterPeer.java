package org.ragwortrun.router.internal.pool;

import org.ragwortrun.net.Address;

/**
 * A router at which other routers can reserve tokens.
 *
 * @param name name of the router
 * @param dataCenter data center of the router
 * @param address address on which it listens for other routers
 */
public record RouterPeer(String name, String dataCenter, Address address) {}
