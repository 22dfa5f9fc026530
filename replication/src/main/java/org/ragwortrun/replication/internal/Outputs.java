package org.ragwortrun.replication.internal;

import java.util.ArrayList;
import java.util.List;
import org.ragwortrun.core.log.Event;

/** What a core wants done after its inputs. */
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

    /** Returns whether a leadership ended, so that the outcome of its uncommitted proposals is unknown. */
    public boolean leadershipLost() {
        return leadershipLost;
    }

    void markLeadershipLost() {
        leadershipLost = true;
    }
}
