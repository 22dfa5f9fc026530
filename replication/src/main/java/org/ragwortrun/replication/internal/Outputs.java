package org.ragwortrun.replication.internal;

import java.util.ArrayList;
import java.util.List;
import org.ragwortrun.core.log.Event;

/** Effects that a core requests after its inputs: messages, writes, deliveries and log events. */
public final class Outputs {
    private final List<OutgoingMessage> messages = new ArrayList<>();
    private final List<Write> writes = new ArrayList<>();
    private final List<Delivery> deliveries = new ArrayList<>();
    private final List<Event> events = new ArrayList<>();
    private boolean leadershipLost;

    public List<OutgoingMessage> messages() {
        return messages;
    }

    public List<Write> writes() {
        return writes;
    }

    public List<Delivery> deliveries() {
        return deliveries;
    }

    public List<Event> events() {
        return events;
    }

    /** Returns whether this member lost leadership, which makes the outcome of its uncommitted proposals unknown. */
    public boolean leadershipLost() {
        return leadershipLost;
    }

    void markLeadershipLost() {
        leadershipLost = true;
    }
}
