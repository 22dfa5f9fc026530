package org.ragwortrun.core.config;

import java.time.Instant;

/**
 * A planned move of a service's traffic to another version.
 *
 * @param name unique name
 * @param service service
 * @param from version that has the traffic
 * @param to version that is to receive it
 * @param sharePermille target share of the new version in thousandths
 * @param trialPermille largest share in thousandths before the evidence suffices
 * @param start earliest start
 * @param finish time by which the target share is to be reached
 */
public record Move(
        String name,
        String service,
        String from,
        String to,
        int sharePermille,
        int trialPermille,
        Instant start,
        Instant finish) {}
