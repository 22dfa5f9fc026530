package org.ragwortrun.router.internal.pool;

import org.ragwortrun.net.Address;

/**
 * A router that takes reservations of others.
 *
 * @param name its name
 * @param dataCenter its data center
 * @param address where it listens for its peers
 */
public record RouterPeer(String name, String dataCenter, Address address) {}
