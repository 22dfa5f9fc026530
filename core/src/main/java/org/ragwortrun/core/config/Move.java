package org.ragwortrun.core.config;

import java.time.Instant;

/**
 * A planned move of a service's traffic to another version.
 *
 * @param name unique name
 * @param service service
 * @param from version that currently receives the traffic
 * @param to version that is to receive it
 * @param sharePermille target share of the new version in thousandths
 * @param trialPermille maximum share in thousandths until the evidence is sufficient
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
        Instant finish) {
    /** Returns whether the old version keeps a share of the traffic after the move. */
    public boolean keepsOldVersion() {
        return sharePermille < 1000;
    }
}
