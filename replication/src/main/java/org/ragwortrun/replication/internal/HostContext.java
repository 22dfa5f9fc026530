package org.ragwortrun.replication.internal;

import java.util.function.BiConsumer;
import java.util.function.LongSupplier;
import org.ragwortrun.core.metrics.Metrics;
import org.ragwortrun.proto.GroupMessage;
import org.ragwortrun.replication.HostSettings;

/**
 * Objects shared by the groups of a host.
 *
 * @param clock monotonic time in nanoseconds since the host started
 * @param sender sends a message to a member by name; the message may be lost
 * @param failureListener called when a group has stopped because of a storage failure
 */
public record HostContext(
        HostSettings settings,
        LongSupplier clock,
        Metrics metrics,
        BiConsumer<String, GroupMessage> sender,
        Runnable failureListener) {}
