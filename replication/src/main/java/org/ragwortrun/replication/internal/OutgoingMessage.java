package org.ragwortrun.replication.internal;

import org.ragwortrun.proto.GroupMessage;

/** Message to a member, addressed by its configured name. */
public record OutgoingMessage(String to, GroupMessage.Builder message) {}
