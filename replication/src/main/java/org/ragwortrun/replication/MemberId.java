package org.ragwortrun.replication;

/**
 * A member of a group.
 *
 * @param name name from the settings
 * @param identity identity of the member's data folder; a cleared folder gets a new one
 * @param address address as {@code ip:port}
 */
public record MemberId(String name, String identity, String address) {}
