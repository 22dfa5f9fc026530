package org.ragwortrun.router.internal.flow;

import java.time.Duration;
import org.ragwortrun.core.config.RegionMap;

/**
 * Settings of the request flow.
 *
 * @param name name of this router
 * @param incarnation incarnation of this router
 * @param dataCenter data center of this router
 * @param reattachWait maximum wait for the connection to an agent before a repeatable request is sent to another endpoint
 * @param queryWait maximum wait for the connection to an agent that may have run a non-repeatable request
 * @param callTimeout time limit of a query to an agent
 * @param stallTimeout time without progress after which the connection of a stalled reader is closed
 * @param resumeBytes maximum text in bytes that is kept for a resume on another endpoint
 * @param regions regions of data centers
 */
public record FlowSettings(
        String name,
        String incarnation,
        String dataCenter,
        Duration reattachWait,
        Duration queryWait,
        Duration callTimeout,
        Duration stallTimeout,
        int resumeBytes,
        RegionMap regions) {}
