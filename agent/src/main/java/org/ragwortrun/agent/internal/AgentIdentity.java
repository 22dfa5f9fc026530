package org.ragwortrun.agent.internal;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.ragwortrun.core.id.Incarnations;
import org.ragwortrun.core.log.Event;
import org.ragwortrun.core.time.Time;

/**
 * Name and incarnation of the agent.
 *
 * <p>An incarnation lasts until the process ends or the agent discards its record of accepted requests and tombstones.
 */
public final class AgentIdentity {
    private static final Logger LOG = LogManager.getLogger(AgentIdentity.class);

    private final String name;
    private final Time time;
    private volatile String incarnation;

    public AgentIdentity(String name, Time time) {
        this.name = name;
        this.time = time;
        incarnation = Incarnations.create(name, time.wallMillis());
    }

    public String name() {
        return name;
    }

    public String incarnation() {
        return incarnation;
    }

    /** Creates a new incarnation, before the agent discards its record of requests and tombstones. */
    void renew(String cause) {
        String old = incarnation;
        incarnation = Incarnations.create(name, time.wallMillis());
        Event.of("incarnation-renewed")
                .with("cause", cause)
                .with("old", old)
                .with("new", incarnation)
                .info(LOG);
    }
}
