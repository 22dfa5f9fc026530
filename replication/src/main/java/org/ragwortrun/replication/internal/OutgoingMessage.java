package org.ragwortrun.replication.internal;

import org.ragwortrun.proto.GroupMessage;

/** A message to a member, addressed by the name from the settings. */
public record OutgoingMessage(String to, GroupMessage.Builder message) {}
